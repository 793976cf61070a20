#pragma once

#include <chrono>
#include <thread>

namespace SystemTest {

constexpr int generousSeconds = 60; ///< limit of waits that decide a verdict; far above what is expected

/// Polls until the condition holds. Returns false at the limit.
template<class Condition>
bool waitFor(int limitSeconds, Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(limitSeconds);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace SystemTest
