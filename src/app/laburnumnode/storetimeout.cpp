#include "storetimeout.h"

#include "nodeconstants.h"

#include <algorithm>

namespace LaburnumFlow::Node {

namespace {

constexpr int responseTimeWindow = 8; ///< responses over which the response time is averaged
constexpr int averageTimeFactor = 6; ///< timeout as a multiple of the average response time
constexpr Base::Duration timerTolerance = 5ms; ///< a call may time out by so much earlier, as its timer counts whole milliseconds

} // namespace

void StoreTimeout::handleResponse(Base::Duration responseTime)
{
    average_ += (responseTime - average_) / responseTimeWindow;
    // A single slow response raises the timeout at once, as the next may be as slow.
    const Base::Duration target = std::max<Base::Duration>(average_ * averageTimeFactor, responseTime * 3);
    current_ = std::clamp<Base::Duration>(std::max<Base::Duration>(target, current_ * 7 / 8), minStoreTimeout, maxStoreTimeout);
}

void StoreTimeout::handleNoResponse(Base::Duration waited, Base::Duration timeout)
{
    if (waited + timerTolerance < timeout) {
        return;
    }
    current_ = std::min<Base::Duration>(current_ * 3 / 2, maxStoreTimeout);
}

} // namespace LaburnumFlow::Node
