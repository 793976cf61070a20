#pragma once

#include "base/counters.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace LaburnumFlow::Runtime {

/// Finds counters by names of static storage without the registry's lock. For one thread.
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
