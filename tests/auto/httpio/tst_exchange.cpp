#include "eventloop/eventloop.h"
#include "httpio/httpclient.h"
#include "httpio/httpfront.h"

#include "../freeport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::HttpIo;
using Outcome = ClientResponse::Outcome;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxConnections = 4; ///< of the client

/// A server and a client on one loop.
class Exchange
{
public:
    explicit Exchange(HttpFront::Handler handler)
        : port(Testing::freePort()), front(loop, {{"127.0.0.1", port}, 1000, 16}, std::move(handler)), client(loop, static_cast<long>(maxConnections))
    {
        CPPUNIT_ASSERT(front.start());
    }

    /// Sends the requests at once and returns the responses in their order.
    std::vector<ClientResponse> send(const std::vector<ClientRequest> &requests)
    {
        std::vector<ClientResponse> responses(requests.size());
        std::size_t open = requests.size();
        for (std::size_t i = 0; i < requests.size(); ++i) {
            client.send(requests[i], [this, &responses, &open, i](ClientResponse response) {
                responses[i] = std::move(response);
                if (--open == 0) {
                    loop.stop();
                }
            });
        }
        loop.run();
        return responses;
    }

    ClientRequest request(const std::string &method, const std::string &path, std::string body = {}) const
    {
        return {method, "http://127.0.0.1:" + std::to_string(port) + path, std::move(body), {}, 20s};
    }

    EventLoop::Loop loop;
    std::uint16_t port;
    HttpFront front;
    HttpClient client;
};

/// Takes all file descriptors that the process may still open.
class NoDescriptors
{
public:
    NoDescriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &former_);
        const rlimit lower{std::min<rlim_t>(former_.rlim_cur, maxDescriptors), former_.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lower);
        for (int fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC); fd >= 0; fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC)) {
            taken_.push_back(fd);
        }
    }

    ~NoDescriptors()
    {
        for (const int fd : taken_) {
            ::close(fd);
        }
        ::setrlimit(RLIMIT_NOFILE, &former_);
    }

    NoDescriptors(const NoDescriptors &) = delete;
    NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
    static constexpr rlim_t maxDescriptors = 256;

    rlimit former_{};
    std::vector<int> taken_;
};

} // namespace

class TestExchange : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestExchange);
    CPPUNIT_TEST(passesRequestAndResponse);
    CPPUNIT_TEST(answersLater);
    CPPUNIT_TEST(refusesLargeBodies);
    CPPUNIT_TEST(tellsWhatWasNotSent);
    CPPUNIT_TEST(requestThatNeverLeftIsNotRefused);
    CPPUNIT_TEST(requestWithoutASocketIsNotRefused);
    CPPUNIT_TEST(timedOutRequestIsUnknown);
    CPPUNIT_TEST(asksToCloseConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against parts of a request that are lost on the way to its handler.
    void passesRequestAndResponse()
    {
        ServerRequest seen;
        Exchange *current = nullptr;
        Exchange exchange([&](const ServerRequest &request) {
            seen = request;
            current->front.answer(request.id, {429, "{\"a\":1}", 7});
        });
        current = &exchange;
        ClientRequest request = exchange.request("POST", "/path/x", "body");
        request.headers = {{"X-Deadline-Ms", "1500"}, {"Host", "some.example"}};
        const auto responses = exchange.send({request});
        CPPUNIT_ASSERT(responses[0].outcome == Outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(429, responses[0].status);
        CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":1}"), responses[0].body);
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), seen.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/path/x"), seen.path);
        CPPUNIT_ASSERT_EQUAL(std::string("some.example"), seen.host);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), seen.body);
        CPPUNIT_ASSERT(seen.deadlineMs == 1500);
    }

    /// Guards against a request that holds up others while it waits for its answer.
    void answersLater()
    {
        Exchange *current = nullptr;
        Exchange exchange([&](const ServerRequest &request) {
            if (request.path == "/slow") {
                current->loop.callAfter(50ms, [&, id = request.id] { current->front.answer(id, {200, "slow", {}}); });
            } else {
                current->front.answer(request.id, {200, "fast", {}});
            }
        });
        current = &exchange;
        const auto responses = exchange.send({exchange.request("GET", "/slow"), exchange.request("GET", "/fast"), exchange.request("GET", "/fast")});
        CPPUNIT_ASSERT_EQUAL(std::string("slow"), responses[0].body);
        CPPUNIT_ASSERT_EQUAL(std::string("fast"), responses[2].body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), exchange.front.openRequests());
    }

    /// Guards against bodies that fill the memory.
    void refusesLargeBodies()
    {
        Exchange exchange([](const ServerRequest & /*request*/) { CPPUNIT_FAIL("passed on"); });
        const auto responses = exchange.send({exchange.request("POST", "/", std::string(5000, 'x'))});
        CPPUNIT_ASSERT_EQUAL(413, responses[0].status);
    }

    /// Guards against "may have been carried out" for a server that is not there.
    void tellsWhatWasNotSent()
    {
        Exchange exchange([](const ServerRequest & /*request*/) {});
        ClientRequest request = exchange.request("GET", "/");
        request.url = "http://127.0.0.1:" + std::to_string(Testing::freePort()) + "/";
        const ClientResponse response = exchange.send({request})[0];
        CPPUNIT_ASSERT(response.outcome == Outcome::NotSent);
        CPPUNIT_ASSERT(response.refused);
    }

    /// Guards against a server that is taken for absent although it only can't be reached in time: here all connections of the client are in use.
    void requestThatNeverLeftIsNotRefused()
    {
        Exchange exchange([](const ServerRequest & /*request*/) {});
        std::vector<ClientRequest> requests(maxConnections + 1, exchange.request("GET", "/"));
        for (ClientRequest &request : requests) {
            request.timeout = 300ms;
        }
        const auto responses = exchange.send(requests);
        CPPUNIT_ASSERT(std::any_of(responses.begin(), responses.end(), [](const auto &response) { return response.outcome == Outcome::NotSent; }));
        CPPUNIT_ASSERT(std::none_of(responses.begin(), responses.end(), [](const auto &response) { return response.refused; }));
    }

    /// Guards against "no process listens there" because an earlier request was refused.
    void requestWithoutASocketIsNotRefused()
    {
        Exchange exchange([](const ServerRequest & /*request*/) {});
        ClientRequest refused = exchange.request("GET", "/");
        refused.url = "http://127.0.0.1:" + std::to_string(Testing::freePort()) + "/";
        CPPUNIT_ASSERT(exchange.send({refused})[0].refused);
        const NoDescriptors none;
        const ClientResponse response = exchange.send({exchange.request("GET", "/")})[0];
        CPPUNIT_ASSERT(response.outcome == Outcome::NotSent);
        CPPUNIT_ASSERT(!response.refused);
    }

    /// Guards against "not carried out" for a request whose answer is lost.
    void timedOutRequestIsUnknown()
    {
        Exchange exchange([](const ServerRequest & /*request*/) {});
        ClientRequest request = exchange.request("GET", "/");
        request.timeout = 100ms;
        CPPUNIT_ASSERT(exchange.send({request})[0].outcome == Outcome::Unknown);
    }

    /// Guards against clients that keep connections to a server which is about to stop.
    void asksToCloseConnections()
    {
        Exchange *current = nullptr;
        Exchange exchange([&](const ServerRequest &request) { current->front.answer(request.id, {200, "x", {}}); });
        current = &exchange;
        exchange.front.closeConnectionsAfterAnswers();
        const auto responses = exchange.send({exchange.request("GET", "/"), exchange.request("GET", "/")});
        CPPUNIT_ASSERT_EQUAL(200, responses[1].status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestExchange);
