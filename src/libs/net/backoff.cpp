#include "backoff.h"

#include "networkconstants.h"

#include <algorithm>

namespace LaburnumFlow::Net::Internal {

Base::Duration Backoff::next(std::mt19937_64 &random)
{
    current_ = std::clamp(current_ * 2, backoffFirst, backoffLast);
    std::uniform_int_distribution<Base::Duration::rep> jitter(current_.count() / 2, current_.count());
    return std::max(Base::Duration(jitter(random)), backoffFirst);
}

} // namespace LaburnumFlow::Net::Internal
