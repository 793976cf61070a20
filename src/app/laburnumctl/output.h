#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace LaburnumFlow::Ctl {

/// Prints rows of objects as an aligned table; columns in the given order, missing values as "-".
void printTable(const nlohmann::json &rows, const std::vector<std::string> &columns);

/// Prints a problem's reason, detail and faults on standard error.
void printProblem(const nlohmann::json &problem);

/// The value as a person reads it: strings without quotes.
std::string plain(const nlohmann::json &value);

/// Reads a whole file, or standard input for "-". Returns false if it can't be read.
bool readFile(const std::string &path, std::string &text);

/// Parses an answer's body; an empty object if it is not JSON.
nlohmann::json parseBody(std::string_view body);

} // namespace LaburnumFlow::Ctl
