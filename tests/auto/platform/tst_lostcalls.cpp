#include "eventloop/eventloop.h"
#include "httpio/httpclient.h"
#include "platform/storedialect.h"
#include "platform/workerdialect.h"

#include "../resettingserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <variant>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Platform;
using namespace LaburnumFlow::Testing;
using HttpIo::ClientRequest;
using HttpIo::ClientResponse;
using namespace std::chrono_literals;

namespace {

constexpr Base::Duration callTimeout = 20s;

/// What a second sending would meet.
std::vector<AfterReset> secondAnswers()
{
    return {RefuseConnections{},
            AnswerCalls{503},
            AnswerCalls{429},
            AnswerCalls{409, R"({"Reason":"old"})"},
            AnswerCalls{409, R"({"Reason":"room"})"},
            AnswerCalls{409, R"({"Reason":"fence"})"},
            AnswerCalls{412, R"({"items":[]})"},
            AnswerCalls{421},
            AnswerCalls{400}};
}

/// Returns the response to a call that a server executes on a reused connection, on which the answer is lost.
template<typename MakeRequest>
ClientResponse loseAnswer(const AfterReset &afterReset, const MakeRequest &makeRequest)
{
    ResettingServer server(afterReset);
    EventLoop::Loop loop;
    HttpIo::HttpClient client(loop, 1);
    ClientRequest request = makeRequest("127.0.0.1:" + std::to_string(server.port()));
    request.timeout = callTimeout;
    ClientResponse response;
    client.send(request, [&](const ClientResponse & /*first*/) {
        loop.defer([&] {
            client.send(request, [&](ClientResponse second) {
                response = std::move(second);
                loop.stop();
            });
        });
    });
    loop.run();
    return response;
}

template<typename Result>
bool isUnknown(const Result &result)
{
    return result.outcome == Result::Outcome::Unknown;
}

} // namespace

/// What the dialects make of a call that was executed and whose answer is lost with its connection.
class TestLostCalls : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLostCalls);
    CPPUNIT_TEST(lostStartIsUnanswered);
    CPPUNIT_TEST(lostStopIsUnanswered);
    CPPUNIT_TEST(lostHoldIsUnanswered);
    CPPUNIT_TEST(lostCommitIsUnknown);
    CPPUNIT_TEST(lostClaimIsUnknown);
    CPPUNIT_TEST(lostWriteOfConfirmersIsUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a run that goes on and is reported as never started, so that its task starts elsewhere too.
    void lostStartIsUnanswered()
    {
        const TaskAgent::CallStart call;
        for (const AfterReset &after : secondAnswers()) {
            const ClientResponse response = loseAnswer(after, [&](const std::string &worker) { return startRequest(worker, call); });
            CPPUNIT_ASSERT(startAnswer(call, response).outcome == TaskAgent::StartAnswered::Outcome::NoAnswer);
        }
    }

    // Guards against a stop that counts as executed by the process of the worker that answers the second sending.
    void lostStopIsUnanswered()
    {
        const TaskAgent::CallStop call;
        const ClientResponse response = loseAnswer(AnswerCalls{200}, [&](const std::string &worker) { return stopRequest(worker, call); });
        CPPUNIT_ASSERT(!stopAnswer(call, response).answered);
    }

    // Guards against "no process listens there, so nothing runs" after a process has read the call, and against a fence that only the second sending met.
    void lostHoldIsUnanswered()
    {
        const TaskAgent::CallHold call;
        for (const AfterReset &after : secondAnswers()) {
            const ClientResponse response = loseAnswer(after, [&](const std::string &worker) { return holdRequest(worker, call); });
            const TaskAgent::HoldAnswered answer = holdAnswer(call, response);
            CPPUNIT_ASSERT(!answer.answered);
            CPPUNIT_ASSERT(!answer.refused);
            CPPUNIT_ASSERT(!answer.refusedFence);
        }
    }

    // Guards against a job that is refused to its caller although its record is in the store, and against a commit in conflict with itself.
    void lostCommitIsUnknown()
    {
        const Jobs::Commit commit;
        for (const AfterReset &after : secondAnswers()) {
            const ClientResponse response = loseAnswer(after, [&](const std::string &store) { return commitRequest(store, commit); });
            CPPUNIT_ASSERT(std::holds_alternative<Jobs::CommitUnknown>(commitResult(response)));
        }
    }

    // Guards against a claim that was won and is taken for lost.
    void lostClaimIsUnknown()
    {
        const EntryNode::Claim claim;
        for (const AfterReset &after : secondAnswers()) {
            CPPUNIT_ASSERT(isUnknown(claimResult(loseAnswer(after, [&](const std::string &store) { return claimRequest(store, claim); }))));
        }
    }

    // Guards against confirmers that were written and are taken for those of another owner.
    void lostWriteOfConfirmersIsUnknown()
    {
        const EntryNode::WriteConfirmers write;
        for (const AfterReset &after : secondAnswers()) {
            CPPUNIT_ASSERT(isUnknown(confirmersResult(loseAnswer(after, [&](const std::string &store) { return confirmersRequest(store, write); }))));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLostCalls);
