#pragma once

#include "tabledelta.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace LaburnumFlow::Rules {

/// The latest changes of a route table, each of which begins where the one before ends. Long logs lose their oldest changes.
class DeltaLog
{
public:
    void add(TableDelta delta);

    /// Returns the changes that lead from a table to the latest one, or nothing if the log doesn't reach back to it.
    std::optional<std::span<const TableDelta>> since(const TableId &table) const;

private:
    std::vector<TableDelta> deltas_;
    std::size_t rows_ = 0;
};

} // namespace LaburnumFlow::Rules
