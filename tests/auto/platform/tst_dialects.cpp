#include "platform/advicedialect.h"
#include "platform/callerclient.h"
#include "platform/callerdialect.h"
#include "platform/heartbeats.h"
#include "platform/rulesdocument.h"
#include "platform/storedialect.h"
#include "platform/workerdialect.h"

#include "store/base64.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <random>
#include <string>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Platform;
using Outcome = HttpIo::ClientResponse::Outcome;

namespace {

const std::string rulesText = R"({"Version":7,"Routes":[
    {"Name":"r-1","Host":"a.example","Prefix":"/p/","Service":"s","MaxAttempts":4,"Stretch":1.6,"TargetDurationMs":60,"Priority":2},
    {"Name":"r-2","Host":"a.example","Prefix":"/p/q/","Service":"s"},
    {"Name":5,"Host":"a.example","Prefix":"/x/","Service":"s"},
    {"Name":"r-3","Host":"a.example","Prefix":"/advised/","Service":"s","Advice":{"DecideMs":5,"EachMs":1,"ValidMs":2000}}],"Services":[],"Limits":{}})";

const std::string heartbeatText = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Capacity":{"Cpu":16000,"MemMb":32768},)"
                                  R"("Labels":["a","r1-3"],"Seq":4,"born":1700000000000})";

HttpIo::ServerRequest request(std::string method, std::string path, std::string body = {})
{
    return {1, std::move(method), std::move(path), "a.example", std::move(body), {}};
}

int httpStatus(const Decoded &decoded)
{
    const auto *response = std::get_if<HttpIo::ServerResponse>(&decoded);
    return response == nullptr ? 0 : response->status;
}

HttpIo::ClientResponse answer(int status, std::string body)
{
    return {Outcome::Answered, status, std::move(body)};
}

} // namespace

class TestDialects : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDialects);
    CPPUNIT_TEST(rules);
    CPPUNIT_TEST(submission);
    CPPUNIT_TEST(malformedSubmissions);
    CPPUNIT_TEST(advice);
    CPPUNIT_TEST(callerClient);
    CPPUNIT_TEST(backgroundStepsAndLatencyTargets);
    CPPUNIT_TEST(stepFlags);
    CPPUNIT_TEST(repeatedJobs);
    CPPUNIT_TEST(checkpoints);
    CPPUNIT_TEST(otherCalls);
    CPPUNIT_TEST(taskNames);
    CPPUNIT_TEST(startOutcomes);
    CPPUNIT_TEST(holdLists);
    CPPUNIT_TEST(fullListOfEndsIsTruncated);
    CPPUNIT_TEST(heartbeats);
    CPPUNIT_TEST(commitOutcomes);
    CPPUNIT_TEST(clusterItems);
    CPPUNIT_TEST(claimReplacesBothRecords);
    CPPUNIT_TEST(rulesResults);
    CPPUNIT_TEST(confirmersOutcomes);
    CPPUNIT_TEST(recordsOfOtherTypes);
    CPPUNIT_TEST(arbitraryBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a route that is selected by a shorter prefix than the longest, and against a malformed row that makes the other rows unusable.
    void rules()
    {
        const auto document = parseRules(rulesText);
        CPPUNIT_ASSERT(document.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), document->table.id.version);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), document->table.routes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), document->skippedRows);
        CPPUNIT_ASSERT_EQUAL(std::string("r-2"), document->table.find("a.example:80", "/p/q/1")->rules.name);
        CPPUNIT_ASSERT_EQUAL(std::string("r-1"), document->table.find("a.example", "/p/1")->rules.name);
        CPPUNIT_ASSERT(document->table.find("b.example", "/p/1") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(4), document->table.find("a.example", "/p/1")->rules.maxAttempts);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(60), document->table.find("a.example", "/p/1")->rules.targetMs);
    }

    /// Guards against fields of a submitted job that are decoded into the wrong members.
    void submission()
    {
        const auto document = parseRules(rulesText);
        const std::string body = R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":900,"DataRack":"r1"},)"
                                 R"({"Count":2,"After":[0],"Requires":"big","MaxPerServer":1}],"BestEffort":true})";
        const Decoded decoded = decodeCall(request("POST", "/p/5c0e7a21d94b36f8", body), &document->table);
        const auto *call = std::get_if<Jobs::Call>(&decoded);
        CPPUNIT_ASSERT(call != nullptr);
        const auto &submit = std::get<Jobs::SubmitCall>(*call);
        CPPUNIT_ASSERT_EQUAL(Jobs::JobId(0x5c0e7a21d94b36f8), submit.job);
        CPPUNIT_ASSERT(submit.bestEffort);
        CPPUNIT_ASSERT_EQUAL(std::string("r-1"), submit.rules.name);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), submit.spec.steps.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(900), submit.spec.steps[0].estimateMs);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), submit.spec.steps[0].dataRack);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(0), submit.spec.steps[1].after.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("big"), submit.spec.steps[1].requiredLabel);
    }

    /// Guards against malformed jobs that are accepted or crash the process.
    void malformedSubmissions()
    {
        const auto document = parseRules(rulesText);
        const std::string longSpec(5000, 'x');
        const std::string cases[] = {
            "",
            "[]",
            "{}",
            R"({"Steps":[]})",
            R"({"Steps":[{"Count":0}]})",
            R"({"Steps":[{"Count":"4"}]})",
            R"({"Steps":[{"Count":4,"Cpu":-1}]})",
            R"({"Steps":[{"Count":4,"Cpu":1e300}]})",
            R"({"Steps":[{"Count":99999999999999999999}]})",
            R"({"Steps":[{"Count":100000},{"Count":1}]})",
            R"({"Steps":[{"Count":1,"After":[0]}]})",
            R"({"Steps":[{"Count":1,"After":"0"}]})",
            R"({"Steps":[7]})",
            R"({"Spec":")" + longSpec + R"(","Steps":[{"Count":1}]})",
        };
        for (const std::string &body : cases) {
            const Decoded decoded = decodeCall(request("POST", "/p/5c0e7a21d94b36f8", body), &document->table);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400, httpStatus(decoded));
        }
    }

    /// Guards against starts without a ticket on workers that require one, and against tickets that are lost between the response of the advice service and
    /// the start call.
    void advice()
    {
        const auto document = parseRules(rulesText);
        CPPUNIT_ASSERT((document->table.find("a.example", "/advised/")->rules.advice == Jobs::AdviceRules{5, 1, 2000}));
        CPPUNIT_ASSERT(!document->table.find("a.example", "/p/")->rules.advice);
        const auto damagedRules
            = parseRules(R"({"Version":1,"Routes":[{"Name":"r","Host":"a.example","Prefix":"/p/","Service":"s","Advice":"?"}],"Services":[],"Limits":{}})");
        CPPUNIT_ASSERT(damagedRules->table.find("a.example", "/p/")->rules.advice == Jobs::AdviceRules{});
        const Jobs::AskAdvice call{4, {0xa21d94b36f8, 1, 0, 2}, {"w-1", "w-2"}, std::chrono::seconds(1)};
        const HttpIo::ClientRequest asked = adviceRequest("10.0.0.9:80", call);
        CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.9:80/advise"), asked.url);
        CPPUNIT_ASSERT(nlohmann::json::parse(asked.body) == nlohmann::json({{"Step", "00000a21d94b36f8.2.1"}, {"Workers", {"w-1", "w-2"}}}));
        const auto given = adviceAnswer(call, answer(200, R"({"Good":[["w-2","t-2"],["w-1"],7],"ValidMs":3000})"));
        CPPUNIT_ASSERT(given.answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), given.number);
        CPPUNIT_ASSERT(given.tickets == (std::vector<std::pair<std::string, std::string>>{{"w-2", "t-2"}}));
        CPPUNIT_ASSERT_EQUAL(3000U, given.validMs.value());
        CPPUNIT_ASSERT(!adviceAnswer(call, answer(429, "")).answered);
        CPPUNIT_ASSERT(!adviceAnswer(call, answer(200, "?")).answered);
        CPPUNIT_ASSERT(!adviceAnswer(call, {Outcome::Unknown, 0, ""}).answered);
        TaskAgent::CallStart start;
        CPPUNIT_ASSERT(!nlohmann::json::parse(startRequest("w:1", start).body).contains("Ticket"));
        start.ticket = "t-2";
        CPPUNIT_ASSERT_EQUAL(std::string("t-2"), nlohmann::json::parse(startRequest("w:1", start).body).at("Ticket").get<std::string>());
        CPPUNIT_ASSERT(startAnswer(start, answer(409, R"({"Reason":"ticket"})")).reason == Jobs::RunRefusal::Reason::NoTicket);
    }

    /// Guards against background tasks that are counted against the capacity of a worker, and against a latency target, usage or pace that is dropped or
    /// misread.
    void backgroundStepsAndLatencyTargets()
    {
        const auto document = parseRules(rulesText);
        const std::string body = R"({"Steps":[{"Count":2,"Cpu":500,"MemMb":64,"Fills":true},{"Count":1,"Cpu":700,"LongRunning":true,"TargetMs":80}]})";
        const Decoded decoded = decodeCall(request("POST", "/p/5c0e7a21d94b36f8", body), &document->table);
        const auto &steps = std::get<Jobs::SubmitCall>(std::get<Jobs::Call>(decoded)).spec.steps;
        CPPUNIT_ASSERT(steps.at(0).need == (Jobs::Resources{0, 64, 0, 500}));
        CPPUNIT_ASSERT(steps.at(1).need == (Jobs::Resources{700, 0, 0, 0}));
        CPPUNIT_ASSERT_EQUAL(80U, steps.at(1).latencyTargetMs);
        for (const char *faulty : {R"({"Steps":[{"Count":1,"Fills":1}]})", R"({"Steps":[{"Count":1,"TargetMs":-1}]})"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(faulty, 400, httpStatus(decodeCall(request("POST", "/p/5c0e7a21d94b36f8", faulty), &document->table)));
        }
        const auto lists = holdAnswer({},
                                      answer(200,
                                             R"({"Running":[["00000a21d94b36f8.0.1.0",1,"",100,75],["00000a21d94b36f8.0.0.0",1,"",3],)"
                                             R"(["00000a21d94b36f8.0.0.1",1,"",3,"?"],["00000a21d94b36f8.0.0.2",1,"",3,-4]],"Ended":[]})"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), lists.running.size());
        CPPUNIT_ASSERT_EQUAL(75U, lists.running[0].usage.value());
        CPPUNIT_ASSERT(!lists.running[1].usage && !lists.running[2].usage && !lists.running[3].usage);
        const TaskAgent::CallPace call{{{0xa21d94b36f8, 0, 2}, 3}, 25, 7, {}};
        const auto pace = nlohmann::json::parse(paceRequest("w:1", call).body);
        CPPUNIT_ASSERT(pace == nlohmann::json({{"Task", "00000a21d94b36f8.0.0.2"}, {"Run", 3}, {"Percent", 25}, {"Fence", 7}}));
        CPPUNIT_ASSERT(paceAnswer(call, answer(200, "{}")).answered);
        CPPUNIT_ASSERT(!paceAnswer(call, answer(409, "{}")).answered);
    }

    /// Guards against load generators whose requests are decoded differently from what they meant to send, and against job states that are misread.
    void callerClient()
    {
        const auto document = parseRules(rulesText);
        const CallerRoute route{"a.example", "/p/"};
        Submission sent{0x5c0e7a21d94b36f8, {"payload", {}}, true, 1500};
        sent.spec.steps.push_back({4, {500, 64, 0}, 30, {}, {}, {}});
        sent.spec.steps.push_back({1, {1000, 64, 0}, 50, {0}, {}, {}});
        const CallerRequest submission = submissionRequest(route, sent);
        CPPUNIT_ASSERT_EQUAL(std::string("Host"), submission.headers.front().name);
        CPPUNIT_ASSERT_EQUAL(std::string("a.example"), submission.headers.front().value);
        const Decoded decoded = decodeCall(request(submission.method, submission.path, submission.body), &document->table);
        const auto &call = std::get<Jobs::SubmitCall>(std::get<Jobs::Call>(decoded));
        CPPUNIT_ASSERT_EQUAL(sent.job, call.job);
        CPPUNIT_ASSERT(call.bestEffort && call.spec == sent.spec);
        const CallerRequest query = stateRequest(route, sent.job);
        CPPUNIT_ASSERT(std::holds_alternative<Jobs::QueryCall>(std::get<Jobs::Call>(decodeCall(request(query.method, query.path), &document->table))));
        const CallerRequest cancel = cancelRequest(route, sent.job);
        CPPUNIT_ASSERT(std::holds_alternative<Jobs::CancelCall>(std::get<Jobs::Call>(decodeCall(request(cancel.method, cancel.path), &document->table))));
        for (const Jobs::JobState state : {Jobs::JobState::Queued, Jobs::JobState::Running, Jobs::JobState::Completed, Jobs::JobState::Failed}) {
            CPPUNIT_ASSERT_EQUAL(404, encodeAnswer({.kind = Jobs::CallAnswer::Kind::UnknownQueue}).status);
            CPPUNIT_ASSERT(parseJobState(encodeAnswer({.kind = Jobs::CallAnswer::Kind::State, .state = state}).body) == state);
        }
        CPPUNIT_ASSERT(!parseJobState("{}") && !parseJobState("?") && !parseJobState(R"({"State":"other"})"));
    }

    /// Guards against requests that are decoded as another call, and against 404 before any configuration is known.
    void otherCalls()
    {
        const auto document = parseRules(rulesText);
        CPPUNIT_ASSERT_EQUAL(503, httpStatus(decodeCall(request("GET", "/p/"), nullptr)));
        CPPUNIT_ASSERT_EQUAL(404, httpStatus(decodeCall(request("GET", "/none/"), &document->table)));
        CPPUNIT_ASSERT_EQUAL(410, httpStatus(decodeCall(request("GET", "/p/xyz"), &document->table)));
        CPPUNIT_ASSERT_EQUAL(400, httpStatus(decodeCall(request("POST", "/p/xyz"), &document->table)));
        CPPUNIT_ASSERT_EQUAL(405, httpStatus(decodeCall(request("PUT", "/p/5c0e7a21d94b36f8"), &document->table)));
        const Decoded count = decodeCall(request("GET", "/p/"), &document->table);
        CPPUNIT_ASSERT(std::holds_alternative<Jobs::CountCall>(std::get<Jobs::Call>(count)));
        const Decoded cancel = decodeCall(request("DELETE", "/p/5c0e7a21d94b36f8"), &document->table);
        CPPUNIT_ASSERT(std::holds_alternative<Jobs::CancelCall>(std::get<Jobs::Call>(cancel)));
    }

    /// Guards against task names that are parsed as the name of another task, which would attribute its runs to that task.
    void taskNames()
    {
        const Jobs::TaskRef task{0x00000a21d94b36f8, 1, 17};
        CPPUNIT_ASSERT_EQUAL(std::string("00000a21d94b36f8.0.1.17"), taskName(task));
        CPPUNIT_ASSERT(parseTaskName("00000a21d94b36f8.0.1.17") == task);
        for (const std::string_view name :
             {"", "a.0.1.17", "00000a21d94b36f8.0.1", "00000a21d94b36f8.0.1.17x", "00000a21d94b36f8.-1.1.17", "00000a21d94b36f8.0.99999999.17"}) {
            CPPUNIT_ASSERT_MESSAGE(std::string(name), !parseTaskName(name).has_value());
        }
    }

    /// Guards against a start that counts as refused although the worker may have executed it. The task would then run twice.
    void startOutcomes()
    {
        using Start = TaskAgent::StartAnswered;
        const TaskAgent::CallStart call;
        CPPUNIT_ASSERT(startAnswer(call, answer(200, R"({"ClockMs":5})")).outcome == Start::Outcome::Started);
        CPPUNIT_ASSERT(startAnswer(call, answer(200, R"({"ClockMs":5})")).workerClock == std::chrono::milliseconds(5));
        CPPUNIT_ASSERT(startAnswer(call, answer(409, R"({"Reason":"room"})")).reason == Jobs::RunRefusal::Reason::NoRoom);
        CPPUNIT_ASSERT(startAnswer(call, answer(409, R"({"Reason":"late"})")).outcome == Start::Outcome::Refused);
        CPPUNIT_ASSERT(startAnswer(call, answer(409, R"({"Reason":"late"})")).reason == Jobs::RunRefusal::Reason::Stale);
        // The call may have been executed, then sent again and refused since the fence was raised in between.
        CPPUNIT_ASSERT(startAnswer(call, answer(409, R"({"Reason":"fence"})")).outcome == Start::Outcome::NoAnswer);
        CPPUNIT_ASSERT(startAnswer(call, answer(503, "")).outcome == Start::Outcome::Refused);
        CPPUNIT_ASSERT(startAnswer(call, answer(421, "")).outcome == Start::Outcome::Refused);
        CPPUNIT_ASSERT(startAnswer(call, answer(500, "")).outcome == Start::Outcome::NoAnswer);
        CPPUNIT_ASSERT(startAnswer(call, {Outcome::Unknown, 0, ""}).outcome == Start::Outcome::NoAnswer);
        CPPUNIT_ASSERT(startAnswer(call, {Outcome::NotSent, 0, ""}).outcome == Start::Outcome::NotSent);
    }

    /// Guards against a malformed row that hides the other rows, and against a malformed body that is taken for an idle worker.
    void holdLists()
    {
        const TaskAgent::CallHold call;
        const auto lists = holdAnswer(call,
                                      answer(200,
                                             R"({"ClockMs":5,"born":9,"Running":[["00000a21d94b36f8.0.0.1",2,"",41],["?",1,"",0],7],)"
                                             R"("Ended":[[58,"00000a21d94b36f8.0.0.2",1,"done",""],[59,"00000a21d94b36f8.0.0.3",1,"new",""]]})"));
        CPPUNIT_ASSERT(lists.answered);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), lists.workerStartTimeMs);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lists.running.size());
        CPPUNIT_ASSERT_EQUAL(41, lists.running[0].percent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lists.ends.size());
        CPPUNIT_ASSERT(lists.ends[0].outcome == Jobs::RunOutcome::Done);
        CPPUNIT_ASSERT(!holdAnswer(call, answer(200, "{}")).answered);
        CPPUNIT_ASSERT(!holdAnswer(call, answer(409, R"({"Running":[],"Ended":[]})")).answered);
        CPPUNIT_ASSERT(!holdAnswer(call, answer(409, R"({"Reason":"late"})")).refusedFence);
        const TaskAgent::CallHold fenced{.until = {}, .fence = 7, .endsAckedToWorker = 0, .wait = {}, .number = 1, .timeout = {}, .calledAt = {}};
        CPPUNIT_ASSERT(holdAnswer(fenced, answer(409, R"({"Reason":"fence"})")).refusedFence == std::uint64_t(7));
        CPPUNIT_ASSERT(!holdAnswer(call, {Outcome::NotSent, 0, ""}).refused);
        CPPUNIT_ASSERT(holdAnswer(call, {Outcome::NotSent, 0, "", true}).refused);
    }

    /// Guards against a list with as many ends as a worker lists at a time that is taken for complete.
    void fullListOfEndsIsTruncated()
    {
        constexpr int maxListed = 500;
        std::string ended;
        for (int number = 1; number < maxListed; ++number) {
            ended += '[' + std::to_string(number) + R"(,"00000a21d94b36f8.0.0.2",1,"done",""],)";
        }
        const auto lists = [](const std::string &rows) { return holdAnswer({}, answer(200, R"({"ClockMs":5,"born":9,"Running":[],"Ended":[)" + rows + "]}")); };
        CPPUNIT_ASSERT(!lists(ended.substr(0, ended.size() - 1)).endsTruncated);
        CPPUNIT_ASSERT(lists(ended + R"([500,"?",1,"done",""])").endsTruncated);
    }

    /// Guards against heartbeats that are accepted without a required field or with an unknown state.
    void heartbeats()
    {
        const auto heartbeat = parseHeartbeat("i-1", heartbeatText);
        CPPUNIT_ASSERT(heartbeat.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(16000), heartbeat->worker.capacity.cpuMilli);
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), heartbeat->worker.rack);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), heartbeat->sequence);
        nlohmann::json broken = nlohmann::json::parse(heartbeatText);
        for (const char *field : {"Service", "State", "Capacity", "Seq"}) {
            nlohmann::json without = broken;
            without.erase(field);
            CPPUNIT_ASSERT_MESSAGE(field, !parseHeartbeat("i-1", without.dump()).has_value());
            without[field] = nullptr;
            CPPUNIT_ASSERT_MESSAGE(field, !parseHeartbeat("i-1", without.dump()).has_value());
        }
        broken["State"] = "other";
        CPPUNIT_ASSERT(!parseHeartbeat("i-1", broken.dump()).has_value());
        CPPUNIT_ASSERT(workerIdFromPath("/instances/i-1") == "i-1");
        CPPUNIT_ASSERT(!workerIdFromPath("/instances/").has_value());
    }

    /// Guards against flags of a step that are mixed up or ignored, and against malformed flags that read as false.
    void stepFlags()
    {
        const auto document = parseRules(rulesText);
        const std::string body = R"({"Steps":[{"Count":2,"Gang":true,"SameRack":true},{"Count":1,"Checkpointing":true,"LongRunning":true}]})";
        const Decoded decoded = decodeCall(request("POST", "/p/5c0e7a21d94b36f8", body), &document->table);
        const auto &steps = std::get<Jobs::SubmitCall>(std::get<Jobs::Call>(decoded)).spec.steps;
        CPPUNIT_ASSERT(steps.at(0).gang && steps.at(0).sameRack && !steps.at(0).checkpointing && !steps.at(0).longRunning);
        CPPUNIT_ASSERT(!steps.at(1).gang && !steps.at(1).sameRack && steps.at(1).checkpointing && steps.at(1).longRunning);
        for (const std::string flag : {"Gang", "SameRack", "Checkpointing", "LongRunning"}) {
            const std::string wrong = R"({"Steps":[{"Count":1,")" + flag + R"(":"yes"}]})";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(flag, 400, httpStatus(decodeCall(request("POST", "/p/5c0e7a21d94b36f8", wrong), &document->table)));
        }
    }

    /// Guards against a repeated job that runs at other times than its caller requested, and against task names without the occurrence.
    void repeatedJobs()
    {
        const auto document = parseRules(rulesText);
        const auto decoded = [&](const std::string &times) {
            return decodeCall(request("POST", "/p/5c0e7a21d94b36f8", R"({"Steps":[{"Count":2}])" + times + "}"), &document->table);
        };
        const Decoded accepted = decoded(R"(,"RepeatCount":3,"FirstMs":1790000000000,"IntervalMs":500)");
        const Jobs::Repetition expected{3, 1'790'000'000'000, 500};
        CPPUNIT_ASSERT(std::get<Jobs::SubmitCall>(std::get<Jobs::Call>(accepted)).spec.repetition == expected);
        for (const std::string times : {R"(,"RepeatCount":-1,"FirstMs":1,"IntervalMs":5)",
                                        R"(,"RepeatCount":3,"IntervalMs":5)",
                                        R"(,"RepeatCount":3,"FirstMs":"now","IntervalMs":5)",
                                        R"(,"RepeatCount":3,"FirstMs":1,"IntervalMs":1.5)"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(times, 400, httpStatus(decoded(times)));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("00000a21d94b36f8.4.1.2"), taskName({0xa21d94b36f8, 1, 2, 4}));
        CPPUNIT_ASSERT(parseTaskName("00000a21d94b36f8.4.1.2") == (Jobs::TaskRef{0xa21d94b36f8, 1, 2, 4}));
    }

    /// Guards against checkpoints that are dropped when they are read from or sent to a worker.
    void checkpoints()
    {
        const auto lists = holdAnswer({},
                                      answer(200,
                                             R"({"ClockMs":5,"Running":[["00000a21d94b36f8.0.0.1",2,"at-4",41],["00000a21d94b36f8.0.0.3",2,9,41]],)"
                                             R"("Ended":[[58,"00000a21d94b36f8.0.0.2",1,"stopped","at-9"]]})"));
        CPPUNIT_ASSERT_EQUAL(std::string("at-4"), lists.running.at(0).checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::string(), lists.running.at(1).checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::string("at-9"), lists.ends.at(0).checkpoint);
        TaskAgent::CallStart call;
        CPPUNIT_ASSERT(!nlohmann::json::parse(startRequest("w:1", call).body).contains("Checkpoint"));
        call.checkpoint = "at-4";
        CPPUNIT_ASSERT_EQUAL(std::string("at-4"), nlohmann::json::parse(startRequest("w:1", call).body).at("Checkpoint").get<std::string>());
    }

    /// Guards against a commit that counts as refused although the store may have executed it.
    void commitOutcomes()
    {
        CPPUNIT_ASSERT(std::holds_alternative<Jobs::Committed>(commitResult(answer(200, R"({"Revision":412})"))));
        CPPUNIT_ASSERT(std::holds_alternative<Jobs::CommitRefused>(commitResult(answer(429, ""))));
        CPPUNIT_ASSERT(std::holds_alternative<Jobs::CommitRefused>(commitResult(answer(503, ""))));
        CPPUNIT_ASSERT(std::holds_alternative<Jobs::CommitUnknown>(commitResult({Outcome::Unknown, 0, ""})));
        const Jobs::OwnerRecord owner{5, 6, "entry", 7, {}};
        const nlohmann::json item{{"Key", Jobs::ownerKey}, {"Value", Store::encodeBase64(Jobs::encodeRecord(owner))}, {"Revision", 99}};
        const auto conflict = commitResult(answer(412, nlohmann::json{{"items", {item}}}.dump()));
        CPPUNIT_ASSERT(std::get<Jobs::CommitConflict>(conflict).current == owner);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(99), std::get<Jobs::CommitConflict>(conflict).revision);
    }

    /// Guards against a malformed record that makes the other records of the cluster unreadable.
    void clusterItems()
    {
        const Jobs::EntryRecord entry{"entry-1", 3, {"10.0.0.1", 7000}, 25};
        const auto cluster = clusterFromItems({{Jobs::entryKey("entry-1"), Jobs::encodeRecord(entry), 4},
                                               {Jobs::entryKey("entry-2"), "damaged", 5},
                                               {std::string(Jobs::ownerKey), Jobs::encodeRecord(Jobs::OwnerRecord{5, 6, "entry-1", 3, {}}), 6}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.content->entries.size());
        CPPUNIT_ASSERT(cluster.content->owner.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), cluster.content->ownerRevision);
    }

    /// Guards against a claim that replaces the owner record without the record of the entries that may confirm it, or the reverse.
    void claimReplacesBothRecords()
    {
        const EntryNode::Claim claim{7, {5, 0, "entry-1", 3, {}}, {6, {5, {{"entry-1", {"10.0.0.1", 7000}}}, {}}}};
        const auto body = nlohmann::json::parse(claimRequest("10.0.0.9:80", claim).body);
        CPPUNIT_ASSERT_EQUAL(std::string(R"([{"Key":"lf/cluster/owner","Revision":7},{"Key":"lf/cluster/confirmers","Revision":6}])"), body["Expect"].dump());
        std::vector<StoreItem> items;
        for (const auto &row : body["Writes"]) {
            items.push_back({row["Key"], Store::decodeBase64(row["Value"].get<std::string>()).value(), 8});
        }
        const auto cluster = clusterFromItems(items);
        CPPUNIT_ASSERT(cluster.content->owner == claim.record);
        CPPUNIT_ASSERT(cluster.content->confirmers == claim.confirmers.record);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), cluster.content->confirmersRevision);
    }

    /// Guards against a version of the rules that is missed, or an older one that is adopted, because of what else a watch reports.
    void rulesResults()
    {
        using WatchOutcome = EntryNode::RulesWatched::Outcome;
        const auto read = rulesReadResult(answer(200, R"({"Key":"op/config","Value":"dg==","Revision":3,"StoreRevision":9})"));
        CPPUNIT_ASSERT_EQUAL(std::string("v"), read.document->text);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), read.document->revision);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), read.storeRevision);
        CPPUNIT_ASSERT(!rulesReadResult(answer(404, "{}")).document);
        const auto watched = rulesWatchedResult(answer(200,
                                                       R"({"events":[{"Key":"op/config","Value":"dg==","Revision":4},{"Key":"op/configs","Value":"eA==",)"
                                                       R"("Revision":6},5,{"Key":"op/config","Value":"dw==","Revision":5}],"StoreRevision":9})"));
        CPPUNIT_ASSERT(watched.outcome == WatchOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string("w"), watched.document->text);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), watched.changedAt);
        const auto deleted = rulesWatchedResult(answer(200, R"({"events":[{"Key":"op/config","Revision":7,"Tombstone":true}],"StoreRevision":9})"));
        CPPUNIT_ASSERT(!deleted.document);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), deleted.changedAt);
        CPPUNIT_ASSERT(rulesWatchedResult(answer(410, "{}")).outcome == WatchOutcome::HistoryLost);
        CPPUNIT_ASSERT(rulesWatchedResult(answer(503, "{}")).outcome == WatchOutcome::Failed);
        CPPUNIT_ASSERT(rulesWatchedResult(answer(200, R"({"StoreRevision":9})")).outcome == WatchOutcome::Failed);
    }

    /// Guards against a write of the confirmer record that is given up although it may be executed late, or repeated after it was executed.
    void confirmersOutcomes()
    {
        using WriteOutcome = EntryNode::ConfirmersWritten::Outcome;
        CPPUNIT_ASSERT(confirmersResult(answer(200, R"({"Revision":12})")).outcome == WriteOutcome::Written);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), confirmersResult(answer(200, R"({"Revision":12})")).revision);
        CPPUNIT_ASSERT(confirmersResult(answer(503, "")).outcome == WriteOutcome::Refused);
        CPPUNIT_ASSERT(confirmersResult(answer(412, R"({"items":[]})")).outcome == WriteOutcome::Unknown);
        CPPUNIT_ASSERT(confirmersResult({Outcome::Unknown, 0, ""}).outcome == WriteOutcome::Unknown);
    }

    /// Guards against a well-formed record that is decoded as another type. A length field read from the wrong place can demand more memory than there is.
    void recordsOfOtherTypes()
    {
        const std::string owner = Jobs::encodeRecord(Jobs::OwnerRecord{5, 6, "entry-1", 3, {"agent"}});
        CPPUNIT_ASSERT(Jobs::decodeOwnerRecord(owner).has_value());
        CPPUNIT_ASSERT(!Jobs::decodeJobPack(owner).has_value());
        CPPUNIT_ASSERT(!Jobs::decodeEntryRecord(owner).has_value());
        CPPUNIT_ASSERT(!Jobs::decodeMessage(std::span(reinterpret_cast<const std::uint8_t *>(owner.data()), owner.size())).has_value());
    }

    /// Guards against malformed input that crashes the process. Damages valid inputs at random positions.
    void arbitraryBytes()
    {
        std::mt19937 random(7);
        const std::string lists
            = R"({"ClockMs":5,"born":9,"Running":[["00000a21d94b36f8.0.0.1",2,"",41]],"Ended":[[58,"00000a21d94b36f8.0.0.2",1,"done",""]]})";
        const std::string owner = Jobs::encodeRecord(Jobs::OwnerRecord{5, 6, "entry-1", 3, {"agent"}});
        for (int round = 0; round < 20'000; ++round) {
            parseRules(damaged(rulesText, random));
            parseHeartbeat("i-1", damaged(heartbeatText, random));
            holdAnswer({}, answer(200, damaged(lists, random)));
            parsePageResponse(answer(200, damaged(R"({"items":[{"Key":"k","Value":"dg==","Revision":3}],"HasMore":true})", random)));
            rulesReadResult(answer(200, damaged(R"({"Key":"op/config","Value":"dg==","Revision":3,"StoreRevision":9})", random)));
            rulesWatchedResult(answer(200, damaged(R"({"events":[{"Key":"op/config","Value":"dg==","Revision":4}],"StoreRevision":9})", random)));
            Jobs::decodeOwnerRecord(damaged(owner, random));
            const std::string message = damaged(owner, random);
            Jobs::decodeMessage(std::span(reinterpret_cast<const std::uint8_t *>(message.data()), message.size()));
        }
    }

private:
    static std::string damaged(std::string text, std::mt19937 &random)
    {
        const unsigned changes = 1 + static_cast<unsigned>(random() % 4);
        for (unsigned i = 0; i < changes && !text.empty(); ++i) {
            const std::size_t place = random() % text.size();
            if (random() % 3 == 0) {
                text.erase(place, 1 + random() % 8);
            } else {
                text[place] = static_cast<char>(random() % 256);
            }
        }
        return text;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDialects);
