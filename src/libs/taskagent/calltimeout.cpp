#include "calltimeout.h"

#include "taskagentconstants.h"

#include <algorithm>

namespace LaburnumFlow::TaskAgent {

void CallTimeout::handleResponse(Base::Duration responseTime)
{
    average_ += (responseTime - average_) / responseTimeWindow;
    unansweredInRow_ = 0;
}

void CallTimeout::handleNoResponse()
{
    unansweredInRow_ = std::min(unansweredInRow_ + 1, maxTimeoutDoublings + 1);
}

Base::Duration CallTimeout::current() const
{
    const Base::Duration timeout = std::clamp<Base::Duration>(average_ * callTimeoutFactor, minCallTimeout, maxCallTimeout);
    // A single call without a response is likely lost.
    const int doublings = std::max(unansweredInRow_ - 1, 0);
    return std::min<Base::Duration>(timeout * (1 << doublings), maxCallTimeout);
}

} // namespace LaburnumFlow::TaskAgent
