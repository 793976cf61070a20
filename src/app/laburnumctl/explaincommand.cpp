#include "commands.h"
#include "laburnumctlconstants.h"

#include "explain/jobtimeline.h"

#include <fstream>
#include <iostream>

namespace LaburnumFlow::Ctl {

namespace {

void addLines(std::istream &input, Explain::JobTimeline &timeline)
{
    for (std::string line; std::getline(input, line);) {
        timeline.add(line);
    }
}

} // namespace

int explainJob(const std::string &id, std::span<const std::string> files)
{
    Explain::JobTimeline timeline(id);
    for (const std::string &name : files) {
        if (name == "-") {
            addLines(std::cin, timeline);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            std::cerr << "laburnumctl: cannot read " << name << '\n';
            return exitUsage;
        }
        addLines(file, timeline);
    }
    const std::vector<std::string> lines = timeline.lines();
    if (lines.empty()) {
        std::cerr << "laburnumctl: no line names the job " << id << '\n';
        return exitFailed;
    }
    for (const std::string &line : lines) {
        std::cout << line << '\n';
    }
    return exitOk;
}

} // namespace LaburnumFlow::Ctl
