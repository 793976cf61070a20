#pragma once

#include "base/types.h"

#include <random>

namespace LaburnumFlow::Net::Internal {

/// Delays between attempts to connect: none after success, then doubling from reconnectDelayInitial up to reconnectDelayMax, with
/// jitter so that many processes don't reconnect to a restarted one at the same moment.
class Backoff
{
public:
    Base::Duration nextDelay(std::mt19937_64 &random);
    void reset()
    {
        delay_ = Base::Duration(0);
    }

private:
    Base::Duration delay_{};
};

} // namespace LaburnumFlow::Net::Internal
