#include "dependencywatch.h"

#include <utility>

namespace LaburnumFlow::Runtime {

std::optional<Base::Duration> DependencyWatch::answered(Base::MonoTime now)
{
    const auto since = std::exchange(failingSince_, std::nullopt);
    return std::exchange(lost_, false) ? std::optional(now - *since) : std::nullopt;
}

bool DependencyWatch::failed(Base::MonoTime now)
{
    if (!failingSince_) {
        failingSince_ = now;
    }
    return !lost_ && now - *failingSince_ >= failureTimeout_ && !std::exchange(lost_, true);
}

} // namespace LaburnumFlow::Runtime
