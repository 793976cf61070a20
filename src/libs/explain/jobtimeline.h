#pragma once

#include "logline.h"

#include <string>
#include <string_view>
#include <vector>

namespace LaburnumFlow::Explain {

/// Gathers the lines that concern one job, and those on what it depended on while it was open: owners, the store, and
/// the workers that were to run its tasks.
class JobTimeline
{
public:
    /// id: 16 hexadecimal digits, as in the logs.
    explicit JobTimeline(std::string id);

    void add(std::string_view logText);

    /// The timeline, a line each, with the time since the job's first line and since the line before. Empty if no line
    /// names the job.
    std::vector<std::string> lines() const;

private:
    bool concernsJob(const LogLine &line) const;

    std::string id_;
    std::vector<LogLine> job_;
    std::vector<LogLine> surroundings_; ///< of all jobs
};

} // namespace LaburnumFlow::Explain
