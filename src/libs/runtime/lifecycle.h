#pragma once

#include <functional>

namespace LaburnumFlow::Runtime {

/// Callbacks by which a runtime reports its shutdown to the program. They are called on any thread, must return quickly and must not call the runtime.
struct Lifecycle {
    std::function<void()> drainStarted;
    std::function<void()> finished; ///< The drain has ended and all work is done
};

} // namespace LaburnumFlow::Runtime
