#include "output.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>

namespace LaburnumFlow::Ctl {

namespace {

std::string cell(const nlohmann::json &row, const std::string &column)
{
    const auto found = row.find(column);
    return found == row.end() ? "-" : plain(*found);
}

} // namespace

std::string plain(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printTable(const nlohmann::json &rows, const std::vector<std::string> &columns)
{
    std::vector<std::size_t> widths;
    for (const std::string &column : columns) {
        std::size_t width = column.size();
        for (const auto &row : rows) {
            width = std::max(width, cell(row, column).size());
        }
        widths.push_back(width);
    }
    for (std::size_t i = 0; i < columns.size(); ++i) {
        std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2) << columns[i];
    }
    std::cout << '\n';
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i) {
            std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2) << cell(row, columns[i]);
        }
        std::cout << '\n';
    }
}

void printProblem(const nlohmann::json &problem)
{
    std::cerr << "laburnumctl: " << problem.value("title", std::string("the call failed"));
    for (const char *member : {"outcome", "reason", "detail"}) {
        if (problem.contains(member)) {
            std::cerr << "; " << member << ": " << plain(problem[member]);
        }
    }
    std::cerr << '\n';
    for (const auto &fault : problem.value("faults", nlohmann::json::array())) {
        std::cerr << "  " << plain(fault["line"]) << ':' << plain(fault["column"]) << ": " << plain(fault["path"]) << ": " << plain(fault["problem"]);
        const std::string accepted = fault.value("accepted", std::string());
        std::cerr << (accepted.empty() ? "" : " (" + accepted + ")") << '\n';
    }
}

bool readFile(const std::string &path, std::string &text)
{
    if (path == "-") {
        text.assign(std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>());
        return true;
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << "laburnumctl: cannot read " << path << '\n';
        return false;
    }
    text.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    return true;
}

nlohmann::json parseBody(std::string_view body)
{
    nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    return json.is_discarded() ? nlohmann::json::object() : json;
}

} // namespace LaburnumFlow::Ctl
