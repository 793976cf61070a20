#pragma once

#include "base/counters.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace LaburnumFlow::Runtime {

/// Caches the counters of a registry by name, so that increments don't take the registry's lock. Names must have static storage, since they are kept as
/// views. Not thread-safe.
class CounterCache
{
public:
    explicit CounterCache(Base::CounterRegistry &registry) : registry_(registry) { }

    void add(std::string_view name, std::uint64_t n)
    {
        Base::Counter *&counter = byName_[name];
        if (counter == nullptr) {
            counter = &registry_.counter(name);
        }
        counter->add(n);
    }

private:
    Base::CounterRegistry &registry_;
    std::unordered_map<std::string_view, Base::Counter *> byName_;
};

} // namespace LaburnumFlow::Runtime
