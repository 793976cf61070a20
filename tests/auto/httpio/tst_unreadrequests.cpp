#include "eventloop/eventloop.h"
#include "httpio/httpfront.h"

#include "../freeport.h"
#include "../rawclient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <string_view>

using namespace LaburnumFlow;
using namespace LaburnumFlow::HttpIo;
using Testing::RawClient;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view request = "POST /p/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n{}";

/// A server that notes what it knows of the client when a request is passed on.
class Server
{
public:
    Server() : port(Testing::freePort()), front(loop, {{"127.0.0.1", port}}, [this](const ServerRequest &passedOn) { note(passedOn); })
    {
        CPPUNIT_ASSERT(front.start());
    }

    /// Runs until a request was passed on.
    void run()
    {
        loop.callAfter(20s, [this] { loop.stop(); });
        loop.run();
        CPPUNIT_ASSERT(seen.has_value());
    }

    EventLoop::Loop loop;
    std::uint16_t port;
    HttpFront front;
    std::optional<ServerRequest> seen;
    bool clientGone = false;

private:
    void note(const ServerRequest &passedOn)
    {
        seen = passedOn;
        clientGone = front.isClientGone(passedOn.id);
        loop.stop();
    }
};

} // namespace

class TestUnreadRequests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestUnreadRequests);
    CPPUNIT_TEST(clientThatHasClosedIsGone);
    CPPUNIT_TEST(clientThatWaitsIsThere);
    CPPUNIT_TEST(clientThatHasSentMoreIsThere);
    CPPUNIT_TEST(clientThatLeavesMeanwhileIsGone);
    CPPUNIT_TEST(answeredRequestHasNoClient);
    CPPUNIT_TEST(tellsHowLongARequestWasUnread);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against work for a client that has left before its request was read.
    void clientThatHasClosedIsGone()
    {
        Server server;
        RawClient client(server.port);
        client.send(request);
        client.close();
        server.run();
        CPPUNIT_ASSERT(server.clientGone);
    }

    /// Guards against requests that are dropped although their client waits.
    void clientThatWaitsIsThere()
    {
        Server server;
        const RawClient client(server.port);
        client.send(request);
        server.run();
        CPPUNIT_ASSERT(!server.clientGone);
    }

    /// Guards against a client that is taken for gone because its next request is in the socket already.
    void clientThatHasSentMoreIsThere()
    {
        Server server;
        const RawClient client(server.port);
        client.send(std::string(request) + std::string(request));
        server.run();
        CPPUNIT_ASSERT(!server.clientGone);
    }

    /// Guards against a client that leaves unnoticed while its request waits.
    void clientThatLeavesMeanwhileIsGone()
    {
        Server server;
        RawClient client(server.port);
        client.send(request);
        server.run();
        CPPUNIT_ASSERT(!server.clientGone);
        client.close();
        CPPUNIT_ASSERT(server.front.isClientGone(server.seen->id));
    }

    /// Guards against a look at the connection of a request that is over.
    void answeredRequestHasNoClient()
    {
        Server server;
        const RawClient client(server.port);
        client.send(request);
        server.run();
        server.front.answer(server.seen->id, {});
        CPPUNIT_ASSERT(server.front.isClientGone(server.seen->id));
    }

    /// Guards against a deadline that counts from when the request is read, although it has waited unread for long.
    void tellsHowLongARequestWasUnread()
    {
        Server server;
        const RawClient client(server.port);
        client.send(request);
        EventLoop::Loop otherLoop;
        otherLoop.callAfter(300ms, [&otherLoop] { otherLoop.stop(); });
        otherLoop.run();
        server.run();
        CPPUNIT_ASSERT(server.seen->waited >= 290ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUnreadRequests);
