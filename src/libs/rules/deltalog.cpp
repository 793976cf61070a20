#include "deltalog.h"

#include "rulesconstants.h"

#include <algorithm>

namespace LaburnumFlow::Rules {

namespace {

std::size_t rowsOf(const TableDelta &delta)
{
    return delta.written.size() + delta.removed.size();
}

} // namespace

void DeltaLog::add(TableDelta delta)
{
    if (!deltas_.empty() && deltas_.back().to != delta.from) {
        deltas_.clear();
        rows_ = 0;
    }
    rows_ += rowsOf(delta);
    deltas_.push_back(std::move(delta));
    auto oldest = deltas_.begin();
    for (; rows_ > maxLoggedRows && oldest != deltas_.end(); ++oldest) {
        rows_ -= rowsOf(*oldest);
    }
    deltas_.erase(deltas_.begin(), oldest);
}

std::optional<std::span<const TableDelta>> DeltaLog::since(const TableId &table) const
{
    const auto first = std::find_if(deltas_.begin(), deltas_.end(), [&table](const TableDelta &delta) { return delta.from == table; });
    if (first == deltas_.end()) {
        return std::nullopt;
    }
    return std::span(deltas_).subspan(static_cast<std::size_t>(first - deltas_.begin()));
}

} // namespace LaburnumFlow::Rules
