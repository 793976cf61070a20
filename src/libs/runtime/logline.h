#pragma once

#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace LaburnumFlow::Runtime {

using LogField = std::pair<std::string_view, std::string>;

/// "event=NAME key=value ..."; a value that is empty or has blanks, quotes, "=" or control characters is quoted.
std::string formatLogLine(std::string_view event, std::span<const LogField> fields);

/// Writes the line at info level to the root logger.
void writeLogLine(std::string_view event, std::span<const LogField> fields);

} // namespace LaburnumFlow::Runtime
