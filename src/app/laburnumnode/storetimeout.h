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
    void handleTimeout();

private:
    Base::Duration current_{200'000};
    Base::Duration average_{};
};

} // namespace LaburnumFlow::Node
