#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace LaburnumFlow::Store {

/// The standard alphabet with padding (RFC 4648, section 4).
std::string encodeBase64(std::string_view bytes);

/// Returns nothing unless the text is well-formed.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace LaburnumFlow::Store
