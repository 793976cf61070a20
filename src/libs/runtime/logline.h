#pragma once

#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace LaburnumFlow::Runtime {

/// Key and value of a field of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Returns "event=NAME key=value ...". A value is quoted if it is empty or contains a blank, a quote, a backslash, "=" or a control character.
std::string formatLogLine(std::string_view event, std::span<const LogField> fields);

/// Writes the formatted line to the root logger at info level.
void writeLogLine(std::string_view event, std::span<const LogField> fields);

} // namespace LaburnumFlow::Runtime
