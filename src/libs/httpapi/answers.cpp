#include "answers.h"

#include "base/uuid.h"

#include <nlohmann/json.hpp>

#include <string>
#include <variant>

namespace LaburnumFlow::HttpApi::Internal {

namespace {

using Json = nlohmann::json;

/// Joins the results' JSON texts without parsing them again.
std::string joinResults(const Protocol::JobSucceeded &answer)
{
    std::string text = "[";
    for (const std::string &result : answer.results) {
        if (text.size() > 1) {
            text.push_back(',');
        }
        text.append(result.empty() ? "null" : result);
    }
    text.push_back(']');
    return text;
}

Json failureJson(const Protocol::JobFailed &failure)
{
    return Json{{"outcome", Protocol::toString(failure.outcome)}, {"reason", Protocol::toString(failure.reason)}, {"taskIndex", failure.taskIndex}};
}

} // namespace

Response makeResponse(const Events::AnswerJob &effect)
{
    const std::string id = Base::toString(effect.submission);
    if (const auto *failure = std::get_if<Protocol::JobFailed>(&effect.answer)) {
        return problemResponse(*failure, effect.submission == Base::Uuid{} ? std::string() : id);
    }
    Response response;
    response.body = R"({"id":")" + id + R"(","results":)" + joinResults(std::get<Protocol::JobSucceeded>(effect.answer)) + "}";
    return response;
}

Response makeResponse(const Events::AnswerStatus &effect)
{
    const Protocol::JobStatus &status = effect.status;
    if (status.phase == Protocol::JobPhase::Unknown) {
        Protocol::JobFailed missing;
        missing.outcome = Protocol::Outcome::Unknown;
        missing.reason = Protocol::Reason::NotFound;
        missing.detail = "the owner of this id has no record of it";
        if (status.answer && std::holds_alternative<Protocol::JobFailed>(*status.answer)) {
            missing = std::get<Protocol::JobFailed>(*status.answer);
        }
        return problemResponse(missing, Base::toString(effect.submission));
    }
    Json json{{"id", Base::toString(effect.submission)},
              {"phase", Protocol::toString(status.phase)},
              {"tasks", status.tasks},
              {"tasksStarted", status.tasksStarted},
              {"tasksEnded", status.tasksEnded}};
    Response response;
    if (status.answer && std::holds_alternative<Protocol::JobFailed>(*status.answer)) {
        json["failure"] = failureJson(std::get<Protocol::JobFailed>(*status.answer));
    }
    response.body = json.dump();
    if (status.answer && std::holds_alternative<Protocol::JobSucceeded>(*status.answer)) {
        response.body.pop_back();
        response.body += R"(,"results":)" + joinResults(std::get<Protocol::JobSucceeded>(*status.answer)) + "}";
    }
    return response;
}

Response makeResponse(const Events::AnswerOperator &effect)
{
    Json sections = Json::object();
    for (const Events::StatusRow &row : effect.rows) {
        Json values{{"name", row.name}};
        for (const auto &[name, value] : row.values) {
            values[name] = value;
        }
        sections[row.section].push_back(std::move(values));
    }
    Response response;
    response.body = sections.dump();
    return response;
}

} // namespace LaburnumFlow::HttpApi::Internal
