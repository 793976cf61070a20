#include "schemareader.h"

#include <yaml-cpp/depthguard.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>

namespace LaburnumFlow::Settings::Internal {

namespace {

std::string_view describeType(const YAML::Node &node)
{
    switch (node.Type()) {
    case YAML::NodeType::Map:
        return "a map";
    case YAML::NodeType::Sequence:
        return "a list";
    case YAML::NodeType::Null:
        return "nothing";
    default:
        return "a scalar";
    }
}

/// Returns whether a scalar is unquoted, to which yaml-cpp gives the tag "?". A quoted number is a string.
bool isPlain(const YAML::Node &node)
{
    return node.Tag() == "?";
}

/// Formats a double without trailing zeros, such as "0.5".
std::string formatNumber(double value)
{
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::general);
    return {buffer.data(), end.ptr};
}

template<class Number>
std::string formatRange(Number min, Number max)
{
    if constexpr (std::is_same_v<Number, double>) {
        return formatNumber(min) + " to " + formatNumber(max);
    } else {
        return std::to_string(min) + " to " + std::to_string(max);
    }
}

/// Quotes a value for a message, shortened to 60 bytes.
std::string quoteShortened(std::string_view value)
{
    constexpr std::size_t maxShownBytes = 60;
    return "'" + std::string(value.substr(0, maxShownBytes)) + (value.size() > maxShownBytes ? "...'" : "'");
}

template<class Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool isDecimalInteger(std::string_view text)
{
    if (text.starts_with('-') || text.starts_with('+')) {
        text.remove_prefix(1);
    }
    return !text.empty() && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

/// Returns the length in bytes of the text's first UTF-8 character, or 0 if it is malformed or NUL.
std::size_t utf8Length(std::string_view text)
{
    const auto byte = [&text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned char lead = byte(0);
    if (lead < 0x80) {
        return lead == 0 ? 0 : 1;
    }
    const std::size_t length = lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3 : 2;
    if (lead < 0xC2 || lead > 0xF4 || text.size() < length) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if ((byte(i) & 0xC0U) != 0x80) {
            return 0;
        }
    }
    const bool overlong = (lead == 0xE0 && byte(1) < 0xA0) || (lead == 0xF0 && byte(1) < 0x90);
    const bool surrogate = lead == 0xED && byte(1) >= 0xA0;
    const bool beyondLast = lead == 0xF4 && byte(1) >= 0x90;
    return overlong || surrogate || beyondLast ? 0 : length;
}

/// Returns the position of the first character that is not UTF-8 or NUL, counted in characters as yaml-cpp does.
std::optional<YAML::Mark> findMalformedCharacter(std::string_view text)
{
    YAML::Mark position;
    while (!text.empty()) {
        const std::size_t length = utf8Length(text);
        if (length == 0) {
            return position;
        }
        ++position.column;
        if (text.front() == '\n') {
            ++position.line;
            position.column = 0;
        }
        text.remove_prefix(length);
    }
    return std::nullopt;
}

} // namespace

void FaultCollector::add(std::string path, const YAML::Mark &position, std::string problem, std::string accepted)
{
    faults_.push_back({std::move(path), position.line + 1, position.is_null() ? 0 : position.column + 1, std::move(problem), std::move(accepted)});
}

SettingsFaults FaultCollector::takeSorted()
{
    std::ranges::stable_sort(faults_, [](const SettingsFault &a, const SettingsFault &b) { return std::pair(a.line, a.column) < std::pair(b.line, b.column); });
    return {std::move(faults_)};
}

std::string joinPath(std::string_view path, std::string_view key)
{
    return path.empty() ? std::string(key) : std::string(path) + "." + std::string(key);
}

bool isName(std::string_view text)
{
    constexpr std::size_t maxLength = 63;
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !text.empty() && text.size() <= maxLength && text.front() != '-' && std::ranges::all_of(text, allowed);
}

std::optional<YAML::Node> loadDocument(std::string_view yaml, FaultCollector &faults)
{
    // yaml-cpp silently replaces malformed characters, and the JSON form of settings in the store cannot hold them.
    if (const auto position = findMalformedCharacter(yaml)) {
        faults.add("", *position, "is not UTF-8 text without NUL");
        return std::nullopt;
    }
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(yaml));
        if (documents.size() > 1) {
            faults.add("", documents[1].Mark(), "more than one document", "one document");
            return std::nullopt;
        }
        return documents.empty() ? YAML::Node() : documents.front();
    } catch (const YAML::DeepRecursion &error) {
        faults.add("", error.mark, "is nested too deeply");
        return std::nullopt;
    } catch (const YAML::Exception &error) {
        faults.add("", error.mark, "YAML syntax: " + error.msg);
        return std::nullopt;
    }
}

void forEachEntry(const YAML::Node &node, std::string_view path, FaultCollector &faults, const EntryVisitor &visit)
{
    if (node.IsNull()) {
        return;
    }
    if (!node.IsMap()) {
        faults.add(std::string(path), node.Mark(), "is " + std::string(describeType(node)), "a map");
        return;
    }
    std::set<std::string> seen;
    for (const auto &entry : node) {
        if (!entry.first.IsScalar()) {
            faults.add(std::string(path), entry.first.Mark(), "has a key that is " + std::string(describeType(entry.first)), "scalar keys");
        } else if (!seen.insert(entry.first.Scalar()).second) {
            faults.add(joinPath(path, entry.first.Scalar()), entry.first.Mark(), "duplicate key");
        } else {
            visit(entry.first.Scalar(), entry.first, entry.second);
        }
    }
}

MapReader::MapReader(const YAML::Node &node, std::string path, FaultCollector &faults) : path_(std::move(path)), position_(node.Mark()), faults_(faults)
{
    forEachEntry(node, path_, faults, [this](const std::string &key, const YAML::Node &keyNode, const YAML::Node &value) {
        entries_.emplace(key, Entry{keyNode, value});
    });
}

MapReader::Entry *MapReader::find(std::string_view key)
{
    if (std::ranges::find(requestedKeys_, key) == requestedKeys_.end()) {
        requestedKeys_.emplace_back(key);
    }
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return nullptr;
    }
    found->second.requested = true;
    return &found->second;
}

std::optional<YAML::Node> MapReader::node(std::string_view key)
{
    const Entry *entry = find(key);
    return entry == nullptr ? std::nullopt : std::optional(entry->value);
}

void MapReader::fault(std::string_view key, std::string problem, std::string accepted)
{
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        faults_.add(childPath(key), position_, std::move(problem), std::move(accepted));
        return;
    }
    // The mark of a null value is that of the next token, so the position of its key is used.
    const Entry &entry = found->second;
    faults_.add(childPath(key), entry.value.IsNull() ? entry.keyNode.Mark() : entry.value.Mark(), std::move(problem), std::move(accepted));
}

void MapReader::require(std::string_view key)
{
    if (!entries_.contains(key)) {
        fault(key, "required key is missing");
    }
}

void MapReader::rejectUnknownKeys(std::string_view acceptedKeys)
{
    std::string accepted(acceptedKeys);
    if (accepted.empty()) {
        for (const std::string &key : requestedKeys_) {
            accepted += (accepted.empty() ? "" : ", ") + key;
        }
    }
    for (const auto &[key, entry] : entries_) {
        if (!entry.requested) {
            faults_.add(childPath(key), entry.keyNode.Mark(), "unknown key", accepted);
        }
    }
}

const YAML::Node *MapReader::scalar(std::string_view key, bool mustBePlain, std::string_view expected)
{
    const Entry *entry = find(key);
    if (entry == nullptr) {
        return nullptr;
    }
    if (!entry->value.IsScalar()) {
        fault(key, "is " + std::string(describeType(entry->value)), std::string(expected));
        return nullptr;
    }
    if (mustBePlain && !isPlain(entry->value)) {
        fault(key, quoteShortened(entry->value.Scalar()) + " is a quoted string", std::string(expected));
        return nullptr;
    }
    return &entry->value;
}

bool MapReader::boolean(std::string_view key, bool &target)
{
    const YAML::Node *value = scalar(key, true, "true or false");
    if (value == nullptr) {
        return false;
    }
    if (value->Scalar() != "true" && value->Scalar() != "false") {
        fault(key, quoteShortened(value->Scalar()) + " is not a boolean", "true or false");
        return false;
    }
    target = value->Scalar() == "true";
    return true;
}

bool MapReader::real(std::string_view key, double &target, double min, double max)
{
    const YAML::Node *value = scalar(key, true, formatRange(min, max));
    if (value == nullptr) {
        return false;
    }
    const auto parsed = parseNumber<double>(value->Scalar());
    if (!parsed || !std::isfinite(*parsed)) {
        fault(key, quoteShortened(value->Scalar()) + " is not a number", formatRange(min, max));
        return false;
    }
    if (*parsed < min || *parsed > max) {
        fault(key, quoteShortened(value->Scalar()) + " is out of range", formatRange(min, max));
        return false;
    }
    target = *parsed;
    return true;
}

bool MapReader::unsignedNumber(std::string_view key, std::uint64_t &target, std::uint64_t min, std::uint64_t max)
{
    const YAML::Node *value = scalar(key, true, formatRange(min, max));
    if (value == nullptr) {
        return false;
    }
    if (!isDecimalInteger(value->Scalar())) {
        fault(key, quoteShortened(value->Scalar()) + " is not a whole number", formatRange(min, max));
        return false;
    }
    const auto parsed = parseNumber<std::uint64_t>(value->Scalar());
    if (!parsed || *parsed < min || *parsed > max) {
        fault(key, quoteShortened(value->Scalar()) + " is out of range", formatRange(min, max));
        return false;
    }
    target = *parsed;
    return true;
}

bool MapReader::text(std::string_view key, std::string &target, std::size_t maxLength)
{
    const std::string accepted = "1 to " + std::to_string(maxLength) + " characters";
    const YAML::Node *value = scalar(key, false, accepted);
    if (value == nullptr) {
        return false;
    }
    if (value->Scalar().empty() || value->Scalar().size() > maxLength) {
        fault(key, "has " + std::to_string(value->Scalar().size()) + " characters", accepted);
        return false;
    }
    target = value->Scalar();
    return true;
}

bool MapReader::choice(std::string_view key, std::string &target, std::span<const std::string_view> choices)
{
    std::string accepted;
    for (const std::string_view choice : choices) {
        accepted += (accepted.empty() ? "" : ", ") + std::string(choice);
    }
    const YAML::Node *value = scalar(key, false, accepted);
    if (value == nullptr) {
        return false;
    }
    if (std::ranges::find(choices, value->Scalar()) == choices.end()) {
        fault(key, quoteShortened(value->Scalar()) + " is not accepted", accepted);
        return false;
    }
    target = value->Scalar();
    return true;
}

} // namespace LaburnumFlow::Settings::Internal
