#include "problem.h"

#include <nlohmann/json.hpp>

namespace LaburnumFlow::HttpApi {

namespace {

using Json = nlohmann::json;
using Protocol::Reason;

constexpr std::string_view problemType = "application/problem+json";

std::string dump(const Json &json)
{
    // A backend server's message may hold bytes that are not UTF-8.
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string_view titleOf(Protocol::Outcome outcome)
{
    switch (outcome) {
    case Protocol::Outcome::NotRun:
        return "The job was refused and did not run";
    case Protocol::Outcome::Failed:
        return "The job failed";
    case Protocol::Outcome::Unknown:
        return "Whether the job ran to its end is not known";
    }
    return "The job failed";
}

Response problem(unsigned status, Json json)
{
    json["status"] = status;
    Response response;
    response.status = status;
    response.body = dump(json);
    response.contentType = problemType;
    return response;
}

} // namespace

unsigned statusOf(const Protocol::JobFailed &failure)
{
    switch (failure.reason) {
    case Reason::BadRequest:
    case Reason::DeadlinePast:
    case Reason::IdFromFuture:
        return 400;
    case Reason::UnknownTeam:
    case Reason::NotFound:
        return 404;
    case Reason::Cancelled:
        return 409;
    case Reason::SubmissionExpired:
        return 410;
    case Reason::BodyTooLarge:
        return 413;
    case Reason::UnknownKind:
    case Reason::TooManyTasks:
    case Reason::BodyMismatch:
    case Reason::Unplaceable:
        return 422;
    case Reason::QuotaExceeded:
        return 429;
    case Reason::TaskFailed:
    case Reason::AttemptLost:
    case Reason::RetriesExhausted:
        return 502;
    case Reason::Overloaded:
    case Reason::OwnerSuspended:
    case Reason::OwnerRecovering:
    case Reason::OwnerUnreachable:
    case Reason::OwnerLost:
    case Reason::SettingsStale:
    case Reason::Draining:
        return 503;
    case Reason::DeadlineExceeded:
    case Reason::RunTimeLimit:
        return 504;
    case Reason::None:
        break;
    }
    return 500;
}

Response problemResponse(const Protocol::JobFailed &failure, std::string_view submission)
{
    Json json;
    json["type"] = "about:blank";
    json["title"] = titleOf(failure.outcome);
    json["outcome"] = Protocol::toString(failure.outcome);
    json["reason"] = Protocol::toString(failure.reason);
    if (!submission.empty()) {
        json["id"] = submission;
    }
    if (!failure.detail.empty()) {
        json["detail"] = failure.detail;
    }
    if (failure.outcome != Protocol::Outcome::NotRun) {
        json["taskIndex"] = failure.taskIndex;
    }
    if (failure.retryAfterMs > 0) {
        json["retryAfterMs"] = failure.retryAfterMs;
    }
    Response response = problem(statusOf(failure), std::move(json));
    response.retryAfterSeconds = (failure.retryAfterMs + 999) / 1000;
    return response;
}

Response badRequest(Reason reason, std::string_view detail)
{
    Protocol::JobFailed failure;
    failure.outcome = Protocol::Outcome::NotRun;
    failure.reason = reason;
    failure.detail = detail;
    return problemResponse(failure, {});
}

Response operatorProblem(unsigned status, std::string_view reason, std::string_view detail)
{
    return problem(status, Json{{"type", "about:blank"}, {"title", reason}, {"reason", reason}, {"detail", detail}});
}

Response faultsResponse(const Settings::SettingsFaults &faults)
{
    Json list = Json::array();
    for (const Settings::SettingsFault &fault : faults.faults) {
        list.push_back({{"path", fault.path}, {"line", fault.line}, {"column", fault.column}, {"problem", fault.problem}, {"accepted", fault.accepted}});
    }
    return problem(422, Json{{"type", "about:blank"}, {"title", "The settings are not valid"}, {"reason", "settings-faults"}, {"faults", std::move(list)}});
}

Response conflictResponse(const Store::SettingsConflict &conflict)
{
    Json current;
    current["revision"] = conflict.current.subtree.revision;
    current["changeId"] = conflict.current.subtree.changeId;
    current["author"] = conflict.current.author;
    current["yaml"] = conflict.current.subtree.yaml;
    return problem(
        412,
        Json{{"type", "about:blank"}, {"title", "Another operator changed the settings"}, {"reason", "settings-conflict"}, {"current", std::move(current)}});
}

} // namespace LaburnumFlow::HttpApi
