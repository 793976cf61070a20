#include "eventloop/eventloop.h"
#include "httpio/httpclient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

using namespace LaburnumFlow;
using namespace LaburnumFlow::HttpIo;
using Outcome = ClientResponse::Outcome;
using namespace std::chrono_literals;

namespace {

constexpr Base::Duration stallTimeout = 300ms;
constexpr Base::Duration partInterval = 20ms;
constexpr int parts = 40; ///< of the whole response, which takes longer than stallTimeout
constexpr std::size_t partBytes = 1000;

/// A server on the loop of the test that answers one call in parts.
class SlowServer
{
public:
    /// After sentParts the server is silent.
    SlowServer(EventLoop::Loop &loop, int sentParts) : loop_(loop), sentParts_(sentParts), listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CPPUNIT_ASSERT_EQUAL(0, ::bind(listener_, reinterpret_cast<sockaddr *>(&address), length));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(listener_, 1));
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length);
        port_ = ntohs(address.sin_port);
        loop_.watch(listener_, EPOLLIN, [this](std::uint32_t /*events*/) { accept(); });
    }

    ~SlowServer()
    {
        loop_.cancel(timer_);
        loop_.unwatch(listener_);
        ::close(listener_);
        ::close(connection_);
    }

    SlowServer(const SlowServer &) = delete;
    SlowServer &operator=(const SlowServer &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

private:
    void accept()
    {
        connection_ = ::accept(listener_, nullptr, nullptr);
        send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(parts * partBytes) + "\r\n\r\n");
        sendPart(0);
    }

    void sendPart(int number)
    {
        if (number == sentParts_) {
            return;
        }
        send(std::string(partBytes, 'x'));
        timer_ = loop_.callAfter(partInterval, [this, number] { sendPart(number + 1); });
    }

    void send(const std::string &bytes) const
    {
        static_cast<void>(::send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    EventLoop::Loop &loop_;
    int sentParts_;
    int listener_;
    int connection_ = -1;
    std::uint16_t port_ = 0;
    EventLoop::TimerId timer_ = 0;
};

ClientResponse readFrom(EventLoop::Loop &loop, const SlowServer &server, std::int64_t maxBytesPerSecond = 0)
{
    HttpClient client(loop, 1);
    ClientRequest request{"GET", "http://127.0.0.1:" + std::to_string(server.port()) + "/long", {}, {}, {}};
    request.stallTimeout = stallTimeout;
    request.maxReceiveBytesPerSecond = maxBytesPerSecond;
    ClientResponse ended;
    client.send(request, [&loop, &ended](ClientResponse response) {
        ended = std::move(response);
        loop.stop();
    });
    loop.run();
    return ended;
}

} // namespace

/// Tests reads whose responses take long.
class TestLongReads : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLongReads);
    CPPUNIT_TEST(readThatGoesOnIsNotEnded);
    CPPUNIT_TEST(silentReadIsEnded);
    CPPUNIT_TEST(readWithALimitedRateIsNotEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a long response that is given up, and read again from its start, while it still arrives.
    void readThatGoesOnIsNotEnded()
    {
        EventLoop::Loop loop;
        const SlowServer server(loop, parts);
        const ClientResponse response = readFrom(loop, server);
        CPPUNIT_ASSERT(response.outcome == Outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(parts * partBytes, response.body.size());
    }

    /// Guards against a read that never ends, when its connection carries nothing any more.
    void silentReadIsEnded()
    {
        EventLoop::Loop loop;
        const SlowServer server(loop, 2);
        CPPUNIT_ASSERT(readFrom(loop, server).outcome == Outcome::Unknown);
    }

    /// Guards against a read that counts as silent because of its own limit.
    void readWithALimitedRateIsNotEnded()
    {
        EventLoop::Loop loop;
        const SlowServer server(loop, parts);
        const ClientResponse response = readFrom(loop, server, parts * partBytes);
        CPPUNIT_ASSERT(response.outcome == Outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(parts * partBytes, response.body.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLongReads);
