#include "settingsroutes.h"

#include "settings/teamsettings.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <map>
#include <optional>

namespace LaburnumFlow::HttpApi {

namespace {

using Json = nlohmann::json;
using Written = std::function<void(const Protocol::SettingsSubtree &)>;

/// A header or query value of an operator's call is missing or not of its form.
struct BadCall {
    std::string_view detail;
};

boost::leaf::result<std::uint64_t> parseRevision(std::string_view text, std::string_view detail)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return boost::leaf::new_error(BadCall{detail});
    }
    return value;
}

Json storedJson(const Store::StoredSettings &stored)
{
    Json history = Json::array();
    for (const Store::SettingsHistoryItem &item : stored.history) {
        history.push_back({{"revision", item.revision}, {"changeId", item.changeId}, {"author", item.author}, {"wallMs", item.wallMs}, {"yaml", item.yaml}});
    }
    return Json{{"team", stored.subtree.team},
                {"revision", stored.subtree.revision},
                {"changeId", stored.subtree.changeId},
                {"author", stored.author},
                {"wallMs", stored.wallMs},
                {"yaml", stored.subtree.yaml},
                {"history", std::move(history)}};
}

Response jsonResponse(unsigned status, const Json &json)
{
    Response response;
    response.status = status;
    response.body = json.dump();
    return response;
}

Response writtenResponse(const Store::StoredSettings &stored, const Written &written)
{
    written(stored.subtree);
    Json json = storedJson(stored);
    json.erase("history");
    json["state"] = "pending";
    return jsonResponse(202, json);
}

boost::leaf::result<Response> listAll(Store::SettingsService &service)
{
    BOOST_LEAF_AUTO(all, service.list());
    Json list = Json::array();
    for (const Store::StoredSettings &stored : all) {
        list.push_back({{"team", stored.subtree.team}, {"revision", stored.subtree.revision}, {"author", stored.author}, {"wallMs", stored.wallMs}});
    }
    return jsonResponse(200, list);
}

boost::leaf::result<Response> getOne(const SettingsCall &call, Store::SettingsService &service)
{
    BOOST_LEAF_AUTO(stored, service.get(call.route.team));
    if (!stored) {
        return operatorProblem(404, "not-found", "the team has no settings");
    }
    return jsonResponse(200, storedJson(*stored));
}

boost::leaf::result<Response> explainOne(const SettingsCall &call, Store::SettingsService &service)
{
    BOOST_LEAF_AUTO(all, service.list());
    std::map<std::string, Protocol::SettingsSubtree, std::less<>> subtrees;
    for (Store::StoredSettings &stored : all) {
        const std::string team = stored.subtree.team;
        subtrees.emplace(team, std::move(stored.subtree));
    }
    Json list = Json::array();
    for (const Settings::Explanation &item : Settings::explain(subtrees, call.route.team, call.argument)) {
        list.push_back({{"path", item.path}, {"value", item.value}, {"level", item.level}});
    }
    return jsonResponse(200, list);
}

boost::leaf::result<Response> checkText(std::string_view team, std::string_view yaml)
{
    boost::leaf::result<void> checked = Settings::checkSubtree(team, yaml);
    if (!checked) {
        return checked.error();
    }
    return jsonResponse(200, Json{{"valid", true}});
}

boost::leaf::result<Response> run(const SettingsCall &call, Store::SettingsService &service, const Written &written)
{
    const std::string &team = call.route.team;
    switch (call.route.action) {
    case SettingsAction::List:
        return listAll(service);
    case SettingsAction::Get:
        return getOne(call, service);
    case SettingsAction::Explain:
        return explainOne(call, service);
    case SettingsAction::Check:
        return checkText(team, call.body);
    case SettingsAction::Put: {
        BOOST_LEAF_AUTO(expected, parseRevision(call.ifMatch, "If-Match must hold the revision that the change is based on, 0 for none"));
        BOOST_LEAF_AUTO(stored, service.set(team, call.body, expected, call.changeId, call.author));
        return writtenResponse(stored, written);
    }
    case SettingsAction::Rollback: {
        BOOST_LEAF_AUTO(expected, parseRevision(call.ifMatch, "If-Match must hold the revision in the store"));
        BOOST_LEAF_AUTO(to, parseRevision(call.argument, "the query's 'to' must hold the revision to go back to"));
        BOOST_LEAF_AUTO(stored, service.rollback(team, to, expected, call.changeId, call.author));
        return writtenResponse(stored, written);
    }
    }
    return operatorProblem(404, "not-found", "no such call");
}

} // namespace

Response runSettingsCall(const SettingsCall &call, Store::SettingsService &service, const Written &written)
{
    return boost::leaf::try_handle_all(
        [&] { return run(call, service, written); },
        [](const BadCall &error) { return operatorProblem(400, "bad-request", error.detail); },
        [](const Settings::SettingsFaults &faults) { return faultsResponse(faults); },
        [](const Store::SettingsConflict &conflict) { return conflictResponse(conflict); },
        [](const Store::ChangeOutcomeUnknown &undecided) {
            return operatorProblem(503, "change-undecided", "whether the change took effect is not known yet; change id " + undecided.changeId);
        },
        [](const Store::NoSuchRevision &missing) {
            return operatorProblem(404, "no-such-revision", "revision " + std::to_string(missing.revision) + " is not in the history");
        },
        [](const Store::StoreUnavailable &) { return operatorProblem(503, "store-unavailable", "the platform's store did not answer; nothing was changed"); },
        [](const Store::StoreRefused &refused) { return operatorProblem(503, "store-refused", refused.detail); },
        [](const Store::BudgetExhausted &) {
            return operatorProblem(503, "store-budget-exhausted", "this entry has used up its share of store calls; try again");
        },
        [](const Store::ValueTooLarge &large) {
            return operatorProblem(413, "value-too-large", std::to_string(large.size) + " bytes are more than the store holds");
        },
        [](const Store::MalformedValue &value) { return operatorProblem(500, "malformed-value", value.key + ": " + value.detail); },
        [] { return operatorProblem(500, "internal", "unexpected error"); });
}

} // namespace LaburnumFlow::HttpApi
