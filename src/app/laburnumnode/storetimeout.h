#pragma once

#include "base/types.h"

namespace LaburnumFlow::Node {

/// How long to wait for the store. It follows the store's response times, so that a lost response costs little while
/// the store is fast, and a slow store is not called again and again.
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
