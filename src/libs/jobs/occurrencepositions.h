#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace LaburnumFlow::Jobs {

/// Position of an occurrence among those whose tasks its job holds.
using OccurrencePosition = std::uint32_t;

/// Tells which occurrences of a repeated job have begun, and at which positions the job holds their tasks. The position of an occurrence that is done is used
/// again, so that a job holds no more than its open occurrences, however often it repeats. A job that isn't repeated has occurrence 0 at position 0.
class OccurrencePositions
{
public:
    OccurrencePositions() = default;

    /// Restores what next() and the numbers of all positions were. The occurrences that are done must be passed to release().
    OccurrencePositions(std::uint32_t next, std::vector<std::uint32_t> numbers);

    /// Returns the first occurrence that hasn't begun. Later ones may have begun under a former owner whose wall clock was ahead.
    std::uint32_t next() const
    {
        return next_;
    }

    /// Returns the occurrence at each position.
    const std::vector<std::uint32_t> &numbers() const
    {
        return numbers_;
    }

    bool hasBegun(std::uint32_t occurrence) const
    {
        return occurrence < next_ || find(occurrence).has_value();
    }

    /// Returns the position of an occurrence, or nothing if it hasn't begun or is done and its position was used again.
    std::optional<OccurrencePosition> find(std::uint32_t occurrence) const;

    /// Returns a position that can be used again.
    std::optional<OccurrencePosition> reusable() const;

    /// Assigns a position to an occurrence that begins: reusable(), or a new one at the end if there is none. Returns the position.
    OccurrencePosition begin(std::uint32_t occurrence);

    /// Declares the occurrence at the position done. Its position is kept until all earlier occurrences have begun, or it would begin a second time.
    void release(OccurrencePosition position);

private:
    void assign(std::uint32_t occurrence, OccurrencePosition position);

    std::uint32_t next_ = 0;
    std::vector<std::uint32_t> numbers_;
    std::unordered_map<std::uint32_t, OccurrencePosition> moved_; ///< Positions of the occurrences that aren't at the position of their own number.
    std::set<std::pair<std::uint32_t, OccurrencePosition>> done_; ///< Occurrences that are done, with their positions.
};

} // namespace LaburnumFlow::Jobs
