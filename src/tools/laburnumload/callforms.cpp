#include "callforms.h"

#include "base/timerservice.h"
#include "base/uuid.h"
#include "jobs/jobtext.h"
#include "platform/callerclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace LaburnumFlow::Load {

namespace {

constexpr std::uint32_t milliPerTask = 1000; ///< thousandths of a core; a worker has room for as many tasks as it has slots
constexpr std::uint32_t megabytesPerTask = 64;

int wholeMs(double ms)
{
    return static_cast<int>(std::lround(std::max(ms, 1.0)));
}

std::string ownBody(const Scenario &scenario, const PlannedJob &job)
{
    nlohmann::json body{{"deadlineMs", scenario.deadlineMs}, {"tasks", nlohmann::json::array()}};
    for (const double runMs : job.runMs) {
        body["tasks"].push_back({{"kind", scenario.mix[job.workClass].kind}, {"payload", {{"runMs", wholeMs(runMs)}}}});
    }
    return body.dump();
}

CallForm ownForm(const Scenario &scenario, const PlannedJob &job, const std::string &id, CallPurpose purpose)
{
    const std::string path = "/v1/teams/" + scenario.team + "/jobs";
    if (purpose == CallPurpose::Cancel) {
        return {"DELETE", path + "/" + id, {}, {}};
    }
    return {"POST", path, {{"Idempotency-Key", id}}, ownBody(scenario, job)};
}

/// The stand-in of a worker reads the run time from the payload.
Platform::Submission submissionOf(const Scenario &scenario, const PlannedJob &job, Jobs::JobId id)
{
    Jobs::StepSpec step;
    step.count = static_cast<std::uint32_t>(job.runMs.size());
    step.need = {milliPerTask, megabytesPerTask};
    step.estimateMs = static_cast<std::uint32_t>(wholeMs(job.runMs.front()));
    return {id, {std::to_string(wholeMs(job.runMs.front())), {step}}, !scenario.stored, static_cast<std::uint32_t>(scenario.deadlineMs)};
}

CallForm platformForm(const Scenario &scenario, const PlannedJob &job, const std::string &id, CallPurpose purpose)
{
    const Platform::CallerRoute route{scenario.host, scenario.prefix};
    const Jobs::JobId number = std::stoull(id, nullptr, 16);
    Platform::CallerRequest request;
    switch (purpose) {
    case CallPurpose::Submit:
    case CallPurpose::Resubmit:
        request = submissionRequest(route, submissionOf(scenario, job, number));
        break;
    case CallPurpose::Query:
        request = stateRequest(route, number);
        break;
    case CallPurpose::Cancel:
        request = cancelRequest(route, number);
        break;
    }
    return {request.method, request.path, request.headers, request.body};
}

CallMeaning ownMeaning(long status, const std::string &body)
{
    if (status == 200) {
        return {JobEnd::Succeeded, {}};
    }
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return {JobEnd::Failed, {}};
    }
    const std::string reason = json.value("reason", std::string());
    const std::string outcome = json.value("outcome", std::string());
    if (reason == "cancelled") {
        return {JobEnd::Cancelled, reason};
    }
    if (outcome == "not-run") {
        return {JobEnd::Refused, reason};
    }
    return {outcome == "unknown" ? JobEnd::Unknown : JobEnd::Failed, reason};
}

CallMeaning platformMeaning(long status, const std::string &body)
{
    constexpr long tooMany = 429;
    constexpr long unavailable = 503;
    constexpr long badGateway = 502;
    constexpr long gatewayTimeout = 504;
    if (status == tooMany || status == unavailable) {
        return {JobEnd::Refused, std::to_string(status)};
    }
    if (status != 200) {
        return {JobEnd::Unknown, std::to_string(status), status == badGateway || status == gatewayTimeout};
    }
    switch (Platform::parseJobState(body).value_or(Jobs::JobState::Queued)) {
    case Jobs::JobState::Completed:
        return {JobEnd::Succeeded, {}};
    case Jobs::JobState::Failed:
        return {JobEnd::Failed, "failed"};
    case Jobs::JobState::Cancelled:
        return {JobEnd::Cancelled, "cancelled"};
    case Jobs::JobState::Queued:
    case Jobs::JobState::Running:
    case Jobs::JobState::Withdrawn:
        break;
    }
    return {};
}

} // namespace

std::string makeJobId(const Scenario &scenario, double atSeconds, std::mt19937_64 &random)
{
    if (scenario.interface == Interface::Platform) {
        return Jobs::formatId(random());
    }
    const std::uint64_t high = random();
    return Base::toString(Base::makeUuidV7(Base::wallNow() + std::chrono::milliseconds(std::lround(atSeconds * 1000)), high, random()));
}

CallForm formOf(const Scenario &scenario, const PlannedJob &job, const std::string &id, CallPurpose purpose)
{
    return scenario.interface == Interface::Platform ? platformForm(scenario, job, id, purpose) : ownForm(scenario, job, id, purpose);
}

CallMeaning meaningOf(const Scenario &scenario, long status, const std::string &body)
{
    return scenario.interface == Interface::Platform ? platformMeaning(status, body) : ownMeaning(status, body);
}

std::string probePath(const Scenario &scenario)
{
    return scenario.interface == Interface::Platform ? "/" : "/v1/health";
}

} // namespace LaburnumFlow::Load
