#pragma once

#include "base/types.h"

#include <cstdint>
#include <string>

namespace LaburnumFlow::Runtime {

/// Returns the process name with a new incarnation number, made of the wall clock and random bits. The number differs even after a restart within the same
/// millisecond. It increases with each start that is at least a millisecond later, unless the clock was set back.
Base::ProcessId makeProcessId(const std::string &name);

/// Returns the seed, or a random number from the operating system if the seed is 0.
std::uint64_t seedOrRandom(std::uint64_t seed);

/// Returns the endpoint with port 0 replaced by the bound port.
Base::Endpoint withPort(Base::Endpoint endpoint, std::uint16_t boundPort);

/// Returns "ADDRESS:PORT", with brackets around an IPv6 address.
std::string toText(const Base::Endpoint &endpoint);

} // namespace LaburnumFlow::Runtime
