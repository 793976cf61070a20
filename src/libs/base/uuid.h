#pragma once

#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace LaburnumFlow::Base {

/// Returns a UUID of version 7 (RFC 9562) with the given time and 128 random bits, of which 74 are used.
Uuid makeUuidV7(WallTime time, std::uint64_t randomHigh, std::uint64_t randomLow);

/// Parses the 36-character form in either case. Returns nothing unless the text is a well-formed UUID of version 7.
std::optional<Uuid> parseUuidV7(std::string_view text);

/// Returns the lowercase 36-character form.
std::string toString(const Uuid &id);

/// Returns the time that a UUID of version 7 contains.
WallTime timeOf(const Uuid &id);

} // namespace LaburnumFlow::Base
