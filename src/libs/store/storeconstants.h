#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>

namespace LaburnumFlow::Store {

using namespace std::chrono_literals;

constexpr std::size_t maxValueBytes = 1'000'000; ///< the platform's store holds values up to 1 MB
constexpr std::size_t maxHistory = 10; ///< earlier revisions kept with a settings subtree

constexpr Base::Duration settingsTimeout = 5s; ///< a whole operation of SettingsService, with all its store calls
constexpr Base::Duration settingsCallTimeout = 1s; ///< one store call of it
constexpr Base::Duration retryDelayInitial = 20ms; ///< before a lost write is looked for again; doubles up to the longest
constexpr Base::Duration retryDelayMax = 320ms;

} // namespace LaburnumFlow::Store
