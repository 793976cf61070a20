#include "storetimeout.h"

#include "nodeconstants.h"

#include <algorithm>

namespace LaburnumFlow::Node {

namespace {

constexpr int averagedOver = 8; ///< responses
constexpr int timesAverage = 6;

} // namespace

void StoreTimeout::answered(Base::Duration after)
{
    average_ += (after - average_) / averagedOver;
    // A single slow response raises the limit at once, as the next may be as slow.
    const Base::Duration wanted = std::max<Base::Duration>(average_ * timesAverage, after * 3);
    current_ = std::clamp<Base::Duration>(std::max<Base::Duration>(wanted, current_ * 7 / 8), storeTimeoutLeast, storeTimeoutMost);
}

void StoreTimeout::timedOut()
{
    current_ = std::min<Base::Duration>(current_ * 3 / 2, storeTimeoutMost);
}

} // namespace LaburnumFlow::Node
