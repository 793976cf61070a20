#include "jobtext.h"

#include <array>
#include <cstdio>

namespace LaburnumFlow::Jobs {

std::string formatId(std::uint64_t id)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id));
    return text.data();
}

std::string formatRun(const RunRef &run)
{
    const std::string occurrence = run.task.occurrence == 0 ? std::string() : '#' + std::to_string(run.task.occurrence);
    return formatId(run.task.job) + '.' + std::to_string(run.task.step) + '.' + std::to_string(run.task.index) + occurrence + '/' + std::to_string(run.run);
}

} // namespace LaburnumFlow::Jobs
