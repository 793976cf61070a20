#include "plot.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <string_view>

namespace LaburnumFlow::Load {

namespace {

constexpr double width = 900;
constexpr double height = 420;
constexpr double margin = 50;

std::string_view colourOf(JobEnd end)
{
    switch (end) {
    case JobEnd::Succeeded:
        return "#2a7f3f";
    case JobEnd::Refused:
        return "#c08a00";
    case JobEnd::Cancelled:
        return "#888888";
    case JobEnd::Failed:
    case JobEnd::Unknown:
    case JobEnd::NoAnswer:
        return "#c02020";
    }
    return "#000000";
}

} // namespace

std::string plotRun(const RunData &run)
{
    double highest = 10;
    for (const JobResult &result : run.results) {
        highest = std::max(highest, result.latencyMs);
    }
    const double decades = std::ceil(std::log10(highest));
    const auto x = [&](double seconds) { return margin + (width - 2 * margin) * seconds / run.scenario.durationSeconds; };
    const auto y = [&](double ms) { return height - margin - (height - 2 * margin) * std::log10(std::max(ms, 1.0)) / decades; };

    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << margin << "\" y=\"20\">" << run.scenario.name << ", seed " << run.seed
        << ": latency (ms, logarithmic) by arrival (s); green answered, yellow refused, grey cancelled, red failed</text>\n";
    for (double decade = 0; decade <= decades; ++decade) {
        const double ms = std::pow(10, decade);
        svg << "<line x1=\"" << margin << "\" x2=\"" << width - margin << "\" y1=\"" << y(ms) << "\" y2=\"" << y(ms) << "\" stroke=\"#dddddd\"/>\n"
            << "<text x=\"5\" y=\"" << y(ms) << "\">" << ms << "</text>\n";
    }
    for (double second = 0; second <= run.scenario.durationSeconds; second += std::max(1.0, std::round(run.scenario.durationSeconds / 10))) {
        svg << "<text x=\"" << x(second) << "\" y=\"" << height - margin + 18 << "\">" << second << "</text>\n";
    }
    for (std::size_t i = 0; i < run.results.size(); ++i) {
        svg << "<circle r=\"1.5\" cx=\"" << x(run.jobs[i].atSeconds) << "\" cy=\"" << y(run.results[i].latencyMs) << "\" fill=\""
            << colourOf(run.results[i].end) << "\"/>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace LaburnumFlow::Load
