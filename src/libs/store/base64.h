#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace LaburnumFlow::Store {

/// Encodes bytes in the standard base64 alphabet with padding (RFC 4648, section 4).
std::string encodeBase64(std::string_view bytes);

/// Decodes the form that encodeBase64() writes. Returns nothing if the text is malformed.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace LaburnumFlow::Store
