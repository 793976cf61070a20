#pragma once

#include <variant>

namespace LaburnumFlow::Dispatch {

struct ExpectedWait {
};
struct Random {
};
struct RoundRobin {
};
struct PowerOfTwo {
};

using PlacementPolicy = std::variant<ExpectedWait, Random, RoundRobin, PowerOfTwo>;

struct DispatchState {
};

} // namespace LaburnumFlow::Dispatch
