#pragma once

#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace LaburnumFlow::Base {

/// Builds a UUIDv7 (RFC 9562) from a Unix time in milliseconds and 128 random bits, of which 74 are used.
Uuid makeUuidV7(WallTime time, std::uint64_t randomHigh, std::uint64_t randomLow);

/// Parses the 36-character form. Returns nothing unless the text is a well-formed UUID of version 7.
std::optional<Uuid> parseUuidV7(std::string_view text);

/// The lowercase 36-character form.
std::string toString(const Uuid &id);

/// The Unix time in milliseconds that a UUIDv7 carries.
WallTime timeOf(const Uuid &id);

} // namespace LaburnumFlow::Base
