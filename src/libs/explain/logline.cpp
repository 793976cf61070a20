#include "logline.h"

#include <cmath>
#include <cstdlib>
#include <ctime>
#include <sstream>

namespace LaburnumFlow::Explain {

namespace {

/// As in 2026-12-04T16:14:06.123Z.
std::optional<std::chrono::milliseconds> parseUtc(const std::string &text)
{
    std::tm parts{};
    const char *end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (end == nullptr) {
        return std::nullopt;
    }
    const double fraction = *end == '.' ? std::strtod(end, nullptr) : 0.0;
    return std::chrono::seconds(timegm(&parts)) + std::chrono::milliseconds(std::lround(fraction * 1000));
}

std::optional<std::chrono::milliseconds> parseSeconds(const std::string &text)
{
    char *end = nullptr;
    const double seconds = std::strtod(text.c_str(), &end);
    const bool whole = end != text.c_str() && *end == '\0' && std::isfinite(seconds) && std::abs(seconds) < 1e12;
    return whole ? std::optional(std::chrono::milliseconds(std::llround(seconds * 1000))) : std::nullopt;
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view text)
{
    LogLine line;
    std::optional<std::chrono::milliseconds> prefixTime;
    std::optional<std::chrono::milliseconds> fieldTime;
    std::istringstream words{std::string(text)};
    std::string word;
    for (int position = 0; words >> word; ++position) {
        const std::size_t equals = word.find('=');
        if (equals == std::string::npos) {
            if (position == 0) {
                prefixTime = parseSeconds(word);
            } else if (position == 1 && prefixTime) {
                line.process = word;
            }
            continue;
        }
        const std::string key = word.substr(0, equals);
        std::string value = word.substr(equals + 1);
        if (key == "time") {
            fieldTime = parseUtc(value);
        } else if (key == "event") {
            line.event = std::move(value);
        } else if (key == "process") {
            line.process = std::move(value);
        } else if (key != "level") {
            line.fields[key] = std::move(value);
        }
    }
    // The collector's clock is the same for all processes.
    const auto time = prefixTime ? prefixTime : fieldTime;
    if (!time || line.event.empty()) {
        return std::nullopt;
    }
    line.time = *time;
    return line;
}

} // namespace LaburnumFlow::Explain
