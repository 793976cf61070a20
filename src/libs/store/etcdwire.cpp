#include "etcdwire.h"

#include "base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace LaburnumFlow::Store::Internal {

using nlohmann::json;

namespace {

/// Returns the first key after all keys with the prefix. "\0" means that the range has no end.
std::string rangeEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xFF) {
        end.pop_back();
    }
    if (end.empty()) {
        return std::string(1, '\0');
    }
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1U);
    return end;
}

json prefixJson(std::string_view prefix)
{
    const std::string start = prefix.empty() ? std::string(1, '\0') : std::string(prefix);
    return {{"key", encodeBase64(start)}, {"range_end", encodeBase64(rangeEnd(prefix))}};
}

std::optional<json> parseObject(std::string_view text)
{
    json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    return parsed;
}

const json &findMember(const json &object, const char *name)
{
    static const json none;
    const auto found = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && found != object.end() ? *found : none;
}

/// Returns 0 if the field is absent, and nothing if it is neither an integer nor a string that holds one.
std::optional<std::int64_t> parseNumber(const json &object, const char *name)
{
    const json &value = findMember(object, name);
    if (value.is_null()) {
        return 0;
    }
    if (value.is_number_integer()) {
        return value.get<std::int64_t>();
    }
    if (!value.is_string()) {
        return std::nullopt;
    }
    const auto &text = value.get_ref<const std::string &>();
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

bool isTrue(const json &object, const char *name)
{
    const json &value = findMember(object, name);
    return value.is_boolean() && value.get<bool>();
}

std::optional<std::string> decodeBytes(const json &object, const char *name)
{
    const json &value = findMember(object, name);
    if (value.is_null()) {
        return std::string();
    }
    return value.is_string() ? decodeBase64(value.get_ref<const std::string &>()) : std::nullopt;
}

std::optional<KeyValue> parsePair(const json &object)
{
    auto key = decodeBytes(object, "key");
    auto value = decodeBytes(object, "value");
    const auto modRevision = parseNumber(object, "mod_revision");
    if (!key || key->empty() || !value || !modRevision || *modRevision <= 0) {
        return std::nullopt;
    }
    return KeyValue{std::move(*key), std::move(*value), *modRevision};
}

std::optional<std::vector<KeyValue>> parsePairs(const json &object)
{
    const json &list = findMember(object, "kvs");
    std::vector<KeyValue> pairs;
    if (!list.is_null() && !list.is_array()) {
        return std::nullopt;
    }
    for (const json &item : list) {
        auto pair = parsePair(item);
        if (!pair) {
            return std::nullopt;
        }
        pairs.push_back(std::move(*pair));
    }
    return pairs;
}

std::optional<std::int64_t> parseStoreRevision(const json &object)
{
    const auto revision = parseNumber(findMember(object, "header"), "revision");
    return revision && *revision > 0 ? revision : std::nullopt;
}

bool parseEvents(const json &list, WatchBatch &batch)
{
    for (const json &event : list) {
        auto pair = parsePair(findMember(event, "kv"));
        if (!pair) {
            return false;
        }
        // The revision in the message's header can be newer than events not sent yet, so the next watch starts after the
        // last event received.
        batch.storeRevision = std::max(batch.storeRevision, pair->modRevision);
        if (findMember(event, "type") == "DELETE") {
            pair->modRevision = 0;
        }
        batch.changed.push_back(std::move(*pair));
    }
    return true;
}

} // namespace

std::string rangeRequest(std::string_view prefix)
{
    return prefixJson(prefix).dump();
}

std::string swapRequest(std::string_view key, std::string_view value, std::int64_t expectedModRevision)
{
    const std::string encodedKey = encodeBase64(key);
    const json compare = {{"key", encodedKey}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(expectedModRevision)}};
    const json put = {{"request_put", {{"key", encodedKey}, {"value", encodeBase64(value)}}}};
    const json read = {{"request_range", {{"key", encodedKey}}}};
    return json{{"compare", json::array({compare})}, {"success", json::array({put})}, {"failure", json::array({read})}}.dump();
}

std::string watchRequest(std::string_view prefix, std::int64_t afterRevision)
{
    json create = prefixJson(prefix);
    create["start_revision"] = std::to_string(afterRevision + 1);
    return json{{"create_request", std::move(create)}}.dump();
}

std::optional<RangeResult> parseRangeResponse(std::string_view text)
{
    const auto response = parseObject(text);
    if (!response) {
        return std::nullopt;
    }
    auto pairs = parsePairs(*response);
    const auto revision = parseStoreRevision(*response);
    if (!pairs || !revision) {
        return std::nullopt;
    }
    return RangeResult{std::move(*pairs), *revision};
}

std::optional<SwapResponse> parseSwapResponse(std::string_view text)
{
    const auto response = parseObject(text);
    const auto revision = response ? parseStoreRevision(*response) : std::nullopt;
    if (!revision) {
        return std::nullopt;
    }
    SwapResponse swap{isTrue(*response, "succeeded"), *revision, {}};
    if (swap.succeeded) {
        return swap;
    }
    const json &responses = findMember(*response, "responses");
    if (!responses.is_array() || responses.size() != 1) {
        return std::nullopt;
    }
    auto pairs = parsePairs(findMember(responses.front(), "response_range"));
    if (!pairs) {
        return std::nullopt;
    }
    if (!pairs->empty()) {
        swap.current = std::move(pairs->front());
    }
    return swap;
}

std::optional<WatchMessage> parseWatchMessage(std::string_view line)
{
    const auto parsed = parseObject(line);
    if (!parsed || !findMember(*parsed, "result").is_object()) {
        return std::nullopt;
    }
    const json &result = findMember(*parsed, "result");
    const auto compactRevision = parseNumber(result, "compact_revision");
    WatchMessage message{isTrue(result, "created"), isTrue(result, "canceled"), compactRevision.value_or(0), {}};
    if (!compactRevision || !parseEvents(findMember(result, "events"), message.batch)) {
        return std::nullopt;
    }
    return message;
}

std::string errorDetail(std::string_view text)
{
    constexpr std::size_t maxDetailBytes = 200;
    const auto parsed = parseObject(text);
    const json &message = parsed ? findMember(*parsed, "message") : json();
    return message.is_string() ? message.get<std::string>() : std::string(text.substr(0, maxDetailBytes));
}

} // namespace LaburnumFlow::Store::Internal
