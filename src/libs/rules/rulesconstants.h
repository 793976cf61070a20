#pragma once

#include <cstddef>

namespace LaburnumFlow::Rules {

constexpr std::size_t maxLoggedRows = 20'000; ///< rows of all changes that are kept for peers with an earlier version
constexpr std::size_t maxUpdateBytes = 64UL * 1024UL * 1024UL; ///< of an update before compression; larger ones are malformed

} // namespace LaburnumFlow::Rules
