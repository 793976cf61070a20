#pragma once

#include "base/types.h"

#include <random>

namespace LaburnumFlow::Net::Internal {

/// Computes the delays between attempts to connect to a peer. They double from reconnectDelayInitial up to
/// reconnectDelayMax, with jitter so that many processes don't reconnect to a restarted one at the same moment.
class Backoff
{
public:
    /// Returns the delay before the next attempt.
    Base::Duration nextDelay(std::mt19937_64 &random);
    /// Starts again at reconnectDelayInitial.
    void reset()
    {
        delay_ = Base::Duration(0);
    }

private:
    Base::Duration delay_{}; ///< Previous delay before jitter; zero after reset()
};

} // namespace LaburnumFlow::Net::Internal
