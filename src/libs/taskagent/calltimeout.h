#pragma once

#include "base/types.h"

namespace LaburnumFlow::TaskAgent {

/// Response times of the calls to a worker, and the timeout that follows from them.
class CallTimeout
{
public:
    /// Handles the response to a call. Only calls that were answered count for the average: one without a response tells nothing of how long the worker takes.
    void handleResponse(Base::Duration responseTime);

    /// Handles a call that got no response within its timeout. Several of them in a row may come from a worker that has become slow.
    void handleNoResponse();

    /// Returns the timeout of the next call.
    Base::Duration current() const;

private:
    Base::Duration average_{};
    int unansweredInRow_ = 0;
};

} // namespace LaburnumFlow::TaskAgent
