#include "occurrencepositions.h"

namespace LaburnumFlow::Jobs {

OccurrencePositions::OccurrencePositions(std::uint32_t next, std::vector<std::uint32_t> numbers) : next_(next), numbers_(std::move(numbers))
{
    for (OccurrencePosition position = 0; position < numbers_.size(); ++position) {
        if (numbers_[position] != position) {
            moved_[numbers_[position]] = position;
        }
    }
}

std::optional<OccurrencePosition> OccurrencePositions::find(std::uint32_t occurrence) const
{
    if (occurrence < numbers_.size() && numbers_[occurrence] == occurrence) {
        return occurrence;
    }
    const auto found = moved_.find(occurrence);
    return found == moved_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<OccurrencePosition> OccurrencePositions::reusable() const
{
    const bool any = !done_.empty() && done_.begin()->first < next_;
    return any ? std::optional(done_.begin()->second) : std::nullopt;
}

OccurrencePosition OccurrencePositions::begin(std::uint32_t occurrence)
{
    const std::optional<OccurrencePosition> free = reusable();
    const OccurrencePosition position = free.value_or(static_cast<OccurrencePosition>(numbers_.size()));
    if (free) {
        moved_.erase(numbers_[position]);
        done_.erase(done_.begin());
    } else {
        numbers_.push_back(occurrence);
    }
    assign(occurrence, position);
    while (find(next_)) {
        ++next_;
    }
    return position;
}

void OccurrencePositions::assign(std::uint32_t occurrence, OccurrencePosition position)
{
    numbers_[position] = occurrence;
    if (occurrence != position) {
        moved_[occurrence] = position;
    }
}

void OccurrencePositions::release(OccurrencePosition position)
{
    done_.emplace(numbers_[position], position);
}

} // namespace LaburnumFlow::Jobs
