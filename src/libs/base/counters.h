#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace LaburnumFlow::Base {

/// A monotonically increasing counter. Its accesses are relaxed, since readers need no order between counters.
class Counter
{
public:
    void add(std::uint64_t n = 1)
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// Holds all counters of a process by name, such as "refused.overloaded". Names are lowercase words separated by dots. Thread-safe.
class CounterRegistry
{
public:
    /// Returns the counter of that name, which is created on first use. The reference is valid for the lifetime of the registry.
    Counter &counter(std::string_view name)
    {
        const std::lock_guard lock(mutex_);
        const auto found = byName_.find(name);
        if (found != byName_.end()) {
            return *found->second;
        }
        Counter &created = counters_.emplace_back();
        byName_.emplace(std::string(name), &created);
        return created;
    }

    /// Returns the current values of all counters by name. Counters may change while they are read.
    std::map<std::string, std::uint64_t> snapshot() const
    {
        const std::lock_guard lock(mutex_);
        std::map<std::string, std::uint64_t> values;
        for (const auto &[name, counter] : byName_) {
            values.emplace(name, counter->value());
        }
        return values;
    }

private:
    mutable std::mutex mutex_;
    std::deque<Counter> counters_;
    std::map<std::string, Counter *, std::less<>> byName_;
};

} // namespace LaburnumFlow::Base
