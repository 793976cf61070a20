#pragma once

#include "base/types.h"

#include <chrono>

namespace LaburnumFlow::Entry {

using namespace std::chrono_literals;

/// Bounds how long a waiting watch delays the end of the process.
constexpr Base::Duration watchDeadline = 1s;

/// Least time between two reads of all settings while watches fail.
constexpr Base::Duration settingsReadInterval = 2s;

} // namespace LaburnumFlow::Entry
