#include "storecalls.h"

#include "store/base64.h"

#include <functional>

namespace LaburnumFlow::StoreStandIn {

using nlohmann::json;

namespace {

constexpr std::size_t maxValueBytes = 1'000'000; ///< as the platform's store

/// Thrown by the readers below and turned into status 400.
struct BadCall : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::string bytesOf(const json &object, const char *name)
{
    const auto bytes = Store::decodeBase64(object.value(name, std::string()));
    if (!bytes) {
        throw BadCall(std::string(name) + " is not base64");
    }
    return *bytes;
}

/// 64-bit numbers are strings in this form, but plain numbers are accepted too.
std::int64_t numberOf(const json &object, const char *name)
{
    const json value = object.value(name, json("0"));
    return value.is_string() ? std::stoll(value.get<std::string>()) : value.get<std::int64_t>();
}

KeyRange rangeOf(const json &object)
{
    KeyRange range{bytesOf(object, "key"), bytesOf(object, "range_end")};
    if (range.start.empty()) {
        throw BadCall("key is not provided");
    }
    return range;
}

json headerJson(std::int64_t revision)
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

json pairJson(const KeyValue &pair)
{
    return {{"key", Store::encodeBase64(pair.key)}, {"value", Store::encodeBase64(pair.value)}, {"mod_revision", std::to_string(pair.modRevision)}};
}

json rangeJson(const RangeReply &reply)
{
    json answer = {{"header", headerJson(reply.revision)}};
    for (const KeyValue &pair : reply.pairs) {
        answer["kvs"].push_back(pairJson(pair));
    }
    if (!reply.pairs.empty()) {
        answer["count"] = std::to_string(reply.pairs.size());
    }
    return answer;
}

std::vector<Compare> comparesOf(const json &request)
{
    std::vector<Compare> compares;
    for (const json &item : request.value("compare", json::array())) {
        if (item.value("target", "") != "MOD" || item.value("result", "EQUAL") != "EQUAL") {
            throw BadCall("only MOD EQUAL compares are supported");
        }
        compares.push_back({bytesOf(item, "key"), numberOf(item, "mod_revision")});
    }
    return compares;
}

std::vector<KeyValue> putsOf(const json &request)
{
    std::vector<KeyValue> puts;
    for (const json &operation : request.value("success", json::array())) {
        const json put = operation.value("request_put", json::object());
        puts.push_back({bytesOf(put, "key"), bytesOf(put, "value"), 0});
        if (puts.back().key.empty() || puts.back().value.size() > maxValueBytes) {
            throw BadCall("key is not provided or value is too large");
        }
    }
    return puts;
}

json txnResponses(StoreState &state, const json &request, const TxnReply &reply)
{
    json responses = json::array();
    for (const json &operation : request.value(reply.succeeded ? "success" : "failure", json::array())) {
        if (reply.succeeded) {
            responses.push_back({{"response_put", {{"header", headerJson(reply.revision)}}}});
        } else {
            responses.push_back({{"response_range", rangeJson(state.range(rangeOf(operation.at("request_range"))))}});
        }
    }
    return responses;
}

/// Answers a call whose body is JSON; any fault in it is status 400.
Reply answerJson(std::string_view body, const std::function<Reply(const json &)> &answer)
{
    try {
        return answer(json::parse(body));
    } catch (const std::exception &error) {
        return badRequest(error.what());
    }
}

template<class Value>
std::optional<Value> optionalOf(const json &object, const char *name)
{
    return object.contains(name) ? std::optional(object.at(name).get<Value>()) : std::nullopt;
}

std::string lineOf(json result)
{
    return json{{"result", std::move(result)}}.dump() + "\n";
}

} // namespace

Reply badRequest(std::string_view problem)
{
    return {400, json{{"error", problem}, {"message", problem}, {"code", 3}}.dump()};
}

Reply answerRange(StoreState &state, std::string_view body)
{
    return answerJson(body, [&](const json &request) { return Reply{200, rangeJson(state.range(rangeOf(request))).dump()}; });
}

Reply answerTxn(StoreState &state, std::string_view body)
{
    return answerJson(body, [&](const json &request) {
        const TxnReply reply = state.swap(comparesOf(request), putsOf(request));
        json answer = {{"header", headerJson(reply.revision)}, {"responses", txnResponses(state, request, reply)}};
        if (reply.succeeded) {
            answer["succeeded"] = true;
        }
        return Reply{200, answer.dump(), reply.answerLost};
    });
}

Reply answerLeaseGrant(StoreState &state, std::string_view body)
{
    return answerJson(body, [&](const json &request) {
        const std::string id = std::to_string(state.grantLease());
        return Reply{200, json{{"header", headerJson(state.stats().revision)}, {"ID", id}, {"TTL", std::to_string(numberOf(request, "TTL"))}}.dump()};
    });
}

Reply answerLeaseKeepAlive(std::string_view body)
{
    return answerJson(body, [](const json &request) { return Reply{200, lineOf({{"ID", std::to_string(numberOf(request, "ID"))}, {"TTL", "10"}})}; });
}

Reply answerControl(StoreState &state, std::string_view body)
{
    return answerJson(body, [&](const json &request) {
        Control control;
        control.down = optionalOf<bool>(request, "down");
        control.delayMs = optionalOf<std::uint32_t>(request, "delayMs");
        control.loseAnswers = optionalOf<std::uint32_t>(request, "loseAnswers");
        control.silenceWatches = optionalOf<bool>(request, "silenceWatches");
        control.stale = optionalOf<bool>(request, "stale");
        control.compact = request.value("compact", false);
        state.apply(control);
        return Reply{200, "{}"};
    });
}

Reply answerStats(StoreState &state)
{
    const Stats stats = state.stats();
    return {200,
            json{{"range", stats.ranges},
                 {"txn", stats.txns},
                 {"watch", stats.watches},
                 {"lease", stats.leases},
                 {"openWatches", stats.openWatches},
                 {"revision", stats.revision}}
                .dump()};
}

std::optional<WatchRequest> parseWatchRequest(std::string_view body)
{
    try {
        const json create = json::parse(body).at("create_request");
        return WatchRequest{rangeOf(create), numberOf(create, "start_revision")};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string watchLine(const WatchStep &step)
{
    if (step.kind == WatchStep::Kind::Compacted) {
        return lineOf({{"header", headerJson(step.revision)}, {"canceled", true}, {"compact_revision", std::to_string(step.revision)}});
    }
    if (step.kind != WatchStep::Kind::Events) {
        return {};
    }
    json events = json::array();
    for (const KeyValue &pair : step.events) {
        events.push_back({{"kv", pairJson(pair)}});
    }
    return lineOf({{"header", headerJson(step.revision)}, {"events", std::move(events)}});
}

std::string createdLine(std::int64_t revision)
{
    return lineOf({{"header", headerJson(revision)}, {"created", true}});
}

} // namespace LaburnumFlow::StoreStandIn
