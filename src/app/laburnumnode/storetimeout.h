#pragma once

#include "base/types.h"

namespace LaburnumFlow::Node {

/// Adaptive timeout for calls to the store. It follows the response times, so that a lost response costs little time while the store is
/// fast, and calls to a slow store don't time out and get repeated.
class StoreTimeout
{
public:
    Base::Duration current() const
    {
        return current_;
    }

    void handleResponse(Base::Duration responseTime);
    /// Handles the end of a call without a response after it has waited for the given time. Only a call that has used up its timeout counts: a
    /// connection that breaks at once doesn't show that the store is slow.
    void handleNoResponse(Base::Duration waited, Base::Duration timeout);

private:
    Base::Duration current_{200'000};
    Base::Duration average_{};
};

} // namespace LaburnumFlow::Node
