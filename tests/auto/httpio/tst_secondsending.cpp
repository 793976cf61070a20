#include "eventloop/eventloop.h"
#include "httpio/httpclient.h"

#include "../resettingserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::HttpIo;
using namespace LaburnumFlow::Testing;
using HttpTransfer::SecondSending;
using Outcome = ClientResponse::Outcome;
using namespace std::chrono_literals;

namespace {

constexpr long maxConnections = 4;
constexpr std::size_t callsWithoutSecondSending = 2;

/// A client with a connection on which one call was answered, and on which the answer to the next one is lost.
class LostAnswer
{
public:
    explicit LostAnswer(AfterReset afterReset) : server_(std::move(afterReset)), client_(loop_, maxConnections) { }

    ClientResponse send(const std::string &method, std::string body, bool idempotent, Base::Duration timeout = 20s)
    {
        ClientRequest request{method, "http://127.0.0.1:" + std::to_string(server_.port()) + "/call", std::move(body), {}, timeout};
        if (idempotent) {
            request.idempotent = true;
        }
        ClientResponse last;
        client_.send(request, [this, request, &last](const ClientResponse &first) {
            CPPUNIT_ASSERT_EQUAL(200, first.status);
            loop_.defer([this, request, &last] {
                client_.send(request, [this, &last](ClientResponse response) {
                    last = std::move(response);
                    loop_.stop();
                });
            });
        });
        loop_.run();
        return last;
    }

    /// Sends a call that nothing interferes with.
    ClientResponse sendNext(const std::string &method, std::string body)
    {
        ClientResponse next;
        client_.send({method, "http://127.0.0.1:" + std::to_string(server_.port()) + "/call", std::move(body), {}, 20s},
                     [this, &next](ClientResponse response) {
                         next = std::move(response);
                         loop_.stop();
                     });
        loop_.run();
        return next;
    }

    std::size_t callsRead() const
    {
        return server_.calls().size();
    }

private:
    ResettingServer server_;
    EventLoop::Loop loop_;
    HttpClient client_;
};

void checkLost(AfterReset afterReset, const std::string &method = "POST", std::string body = "{}", Base::Duration timeout = 20s)
{
    LostAnswer lost(std::move(afterReset));
    const ClientResponse response = lost.send(method, std::move(body), false, timeout);
    CPPUNIT_ASSERT(response.outcome == Outcome::Unknown);
    CPPUNIT_ASSERT(!response.refused);
    CPPUNIT_ASSERT(response.secondSending == SecondSending::Prevented);
    CPPUNIT_ASSERT_EQUAL(callsWithoutSecondSending, lost.callsRead());
}

} // namespace

/// A server reads a call on a reused connection and resets the connection before the answer. libcurl would send the call again by itself.
class TestSecondSending : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSecondSending);
    CPPUNIT_TEST(callIsLostIfTheServerThenRefusesConnections);
    CPPUNIT_TEST(callIsLostIfTheServerThenIsUnavailable);
    CPPUNIT_TEST(callIsLostIfTheServerThenReportsAConflict);
    CPPUNIT_TEST(callIsLostIfTheServerThenAccepts);
    CPPUNIT_TEST(callIsLostIfTheServerThenIsSilent);
    CPPUNIT_TEST(callWithoutBodyIsLost);
    CPPUNIT_TEST(callAfterALostOneIsSent);
    CPPUNIT_TEST(idempotentCallIsSentAgain);
    CPPUNIT_TEST(idempotentCallWithoutBodyIsSentAgain);
    CPPUNIT_TEST(idempotentCallIsNotRefusedAfterAServerHasReadIt);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a call that was executed and is reported as never sent.
    void callIsLostIfTheServerThenRefusesConnections()
    {
        checkLost(RefuseConnections{});
    }

    // Guards against a call that was executed and is reported as turned away by a busy server.
    void callIsLostIfTheServerThenIsUnavailable()
    {
        checkLost(AnswerCalls{503});
        checkLost(AnswerCalls{429});
    }

    // Guards against a call that was executed and is reported as in conflict, perhaps with itself.
    void callIsLostIfTheServerThenReportsAConflict()
    {
        checkLost(AnswerCalls{409, R"({"Reason":"old"})"});
        checkLost(AnswerCalls{412});
        checkLost(AnswerCalls{421});
        checkLost(AnswerCalls{400});
    }

    // Guards against a call that is executed twice.
    void callIsLostIfTheServerThenAccepts()
    {
        checkLost(AnswerCalls{200});
    }

    // Guards against a lost call that is reported only after its timeout, although its connection has broken.
    void callIsLostIfTheServerThenIsSilent()
    {
        checkLost(StaySilent{});
    }

    // Guards against a second sending of a call that has no body to rewind.
    void callWithoutBodyIsLost()
    {
        checkLost(AnswerCalls{404}, "DELETE", {});
    }

    // Guards against a call that isn't sent, and is reported so, because libcurl's handle still wants to send the body of the lost call again.
    void callAfterALostOneIsSent()
    {
        LostAnswer lost(AnswerCalls{200});
        CPPUNIT_ASSERT(lost.send("POST", "{}", false).outcome == Outcome::Unknown);
        const ClientResponse next = lost.sendNext("POST", "{}");
        CPPUNIT_ASSERT(next.outcome == Outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(200, next.status);
        CPPUNIT_ASSERT_EQUAL(callsWithoutSecondSending + 1, lost.callsRead());
    }

    // Guards against reads that fail for a broken connection, and against second sendings that nobody counts.
    void idempotentCallIsSentAgain()
    {
        LostAnswer lost(AnswerCalls{200, "{\"a\":1}"});
        const ClientResponse response = lost.send("POST", "{}", true);
        CPPUNIT_ASSERT(response.outcome == Outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":1}"), response.body);
        CPPUNIT_ASSERT(response.secondSending == SecondSending::Sent);
        CPPUNIT_ASSERT_EQUAL(callsWithoutSecondSending + 1, lost.callsRead());
    }

    // Guards against the same for requests without a body, which libcurl need not rewind.
    void idempotentCallWithoutBodyIsSentAgain()
    {
        LostAnswer lost(AnswerCalls{200, "{\"a\":1}"});
        const ClientResponse response = lost.send("GET", {}, true);
        CPPUNIT_ASSERT(response.outcome == Outcome::Answered);
        CPPUNIT_ASSERT(response.secondSending == SecondSending::Sent);
        CPPUNIT_ASSERT_EQUAL(callsWithoutSecondSending + 1, lost.callsRead());
    }

    // Guards against "no process listens there" after a process has read the call.
    void idempotentCallIsNotRefusedAfterAServerHasReadIt()
    {
        LostAnswer lost(RefuseConnections{});
        const ClientResponse response = lost.send("POST", "{}", true);
        CPPUNIT_ASSERT(response.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(!response.refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSecondSending);
