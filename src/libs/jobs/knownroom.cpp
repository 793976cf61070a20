#include "knownroom.h"

#include <algorithm>

namespace LaburnumFlow::Jobs {

namespace {

constexpr std::size_t maxKnown = 8; ///< Of each kind, as a search of more would cost more than it saves.

/// Returns whether what is known for \a known holds for \a need. The share of background tasks changes the cost in both directions.
bool holdsFor(const Resources &known, const Resources &need)
{
    return known.backgroundMilli == need.backgroundMilli && isWithin(known, need);
}

} // namespace

void KnownRoom::noteMissing(const Resources &need)
{
    std::erase_if(missing_, [&need](const Resources &known) { return holdsFor(need, known); });
    if (missing_.size() < maxKnown) {
        missing_.push_back(need);
    }
}

void KnownRoom::noteLeastCost(const Resources &need, double cost)
{
    std::erase_if(costs_, [&need, cost](const Cost &known) { return holdsFor(need, known.need) && known.least <= cost; });
    if (costs_.size() < maxKnown) {
        costs_.push_back({need, cost});
    }
}

void KnownRoom::noteKeptOut(const Resources &need, std::uint32_t estimateMs)
{
    std::erase_if(keptOut_, [&](const KeptOut &known) { return holdsFor(need, known.need) && estimateMs <= known.estimateMs; });
    if (keptOut_.size() < maxKnown) {
        keptOut_.push_back({need, estimateMs});
    }
}

bool KnownRoom::isMissingFor(const Resources &need) const
{
    return std::any_of(missing_.begin(), missing_.end(), [&need](const Resources &known) { return holdsFor(known, need); });
}

bool KnownRoom::isKeptOut(const Resources &need, std::uint32_t estimateMs) const
{
    return std::any_of(keptOut_.begin(), keptOut_.end(), [&](const KeptOut &known) { return holdsFor(known.need, need) && known.estimateMs <= estimateMs; });
}

double KnownRoom::leastCost(const Resources &need) const
{
    double least = 0.0;
    for (const Cost &known : costs_) {
        if (holdsFor(known.need, need)) {
            least = std::max(least, known.least);
        }
    }
    return least;
}

} // namespace LaburnumFlow::Jobs
