#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>

namespace LaburnumFlow::Store {

using namespace std::chrono_literals;

constexpr std::size_t maxValueBytes = 1'000'000; ///< Largest value that the platform's store accepts (1 MB)
constexpr std::size_t maxHistory = 10; ///< Earlier revisions stored with a settings subtree

constexpr Base::Duration settingsTimeout = 5s; ///< One operation of SettingsService with all its store calls
constexpr Base::Duration settingsCallTimeout = 1s; ///< One store call of an operation of SettingsService
constexpr Base::Duration retryDelayInitial = 20ms; ///< Before the next try to resolve an unknown outcome; doubles each time
constexpr Base::Duration retryDelayMax = 320ms; ///< Upper bound of the doubled delay

} // namespace LaburnumFlow::Store
