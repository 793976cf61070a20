#pragma once

#include "base/types.h"

#include <cstdint>
#include <string>

namespace LaburnumFlow::Runtime {

/// An incarnation from the wall clock and random bits: it differs after a restart within the same millisecond and
/// grows from one run to the next unless the clock was set back.
Base::ProcessId makeProcessId(const std::string &name);

/// The given seed, or one from the system if it is 0.
std::uint64_t seedOrRandom(std::uint64_t seed);

/// As the settings give it, with the bound port in place of port 0.
Base::Endpoint withPort(Base::Endpoint endpoint, std::uint16_t boundPort);

/// "ADDR:PORT", with brackets around an IPv6 address.
std::string toText(const Base::Endpoint &endpoint);

} // namespace LaburnumFlow::Runtime
