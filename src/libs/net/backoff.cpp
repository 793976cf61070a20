#include "backoff.h"

#include "networkconstants.h"

#include <algorithm>

namespace LaburnumFlow::Net::Internal {

Base::Duration Backoff::nextDelay(std::mt19937_64 &random)
{
    delay_ = std::clamp(delay_ * 2, reconnectDelayInitial, reconnectDelayMax);
    std::uniform_int_distribution<Base::Duration::rep> jitter(delay_.count() / 2, delay_.count());
    return std::max(Base::Duration(jitter(random)), reconnectDelayInitial);
}

} // namespace LaburnumFlow::Net::Internal
