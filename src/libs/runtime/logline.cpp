#include "logline.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace LaburnumFlow::Runtime {

namespace {

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char c) { return isControl(c) || c == ' ' || c == '"' || c == '=' || c == '\\'; });
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (isControl(c)) {
            std::array<char, 5> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\x%02x", static_cast<unsigned>(static_cast<unsigned char>(c)));
            line += escaped.data();
            continue;
        }
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += c;
    }
    line += '"';
}

} // namespace

std::string formatLogLine(std::string_view event, std::span<const LogField> fields)
{
    std::string line = "event=";
    line += event;
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        if (needsQuotes(value)) {
            appendQuoted(line, value);
        } else {
            line += value;
        }
    }
    return line;
}

void writeLogLine(std::string_view event, std::span<const LogField> fields)
{
    LOG4CPLUS_INFO(log4cplus::Logger::getRoot(), formatLogLine(event, fields));
}

} // namespace LaburnumFlow::Runtime
