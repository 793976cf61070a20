#pragma once

#include <functional>

namespace LaburnumFlow::Runtime {

/// What a runtime reports to the program. Called on any thread; must return quickly and not call the runtime.
struct Lifecycle {
    std::function<void()> drainStarted;
    std::function<void()> finished; ///< all work is done after a drain
};

} // namespace LaburnumFlow::Runtime
