#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace LaburnumFlow::Load {

/// What the backend servers' own records say about the tasks of a run.
struct RecordCheck {
    std::size_t starts = 0;
    std::size_t tasks = 0; ///< tasks that started at least once
    std::size_t repeatedAttempts = 0; ///< starts of an attempt that had started before; must be 0
    std::size_t laterAttempts = 0; ///< starts of a further attempt of a task
};

/// Reads the record files that the backend servers wrote, lines of the form "start ID KIND MS".
RecordCheck checkRecords(const std::vector<std::string> &files);

} // namespace LaburnumFlow::Load
