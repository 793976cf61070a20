#include "laburnumctl/httpclient.h"

#include "../freeport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <future>
#include <string>
#include <string_view>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Ctl;
using namespace std::chrono_literals;

namespace {

constexpr Base::Duration timeout = 300ms; ///< passes in each test in which it is set
constexpr std::size_t moreThanBuffers = 64UL * 1024UL * 1024UL; ///< bytes; the kernel takes less of a connection that nobody reads
constexpr int unaccepted = 4; ///< connections; more than the queue of a listener with the backlog 0 holds

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/// Listens, but accepts nothing by itself. The kernel makes connections and takes what it has buffers for.
class SilentListener
{
public:
    explicit SilentListener(int backlog) : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        CPPUNIT_ASSERT(::bind(listener_, generic, size) == 0 && ::listen(listener_, backlog) == 0 && ::getsockname(listener_, generic, &size) == 0);
        port_ = ntohs(address.sin_port);
    }

    ~SilentListener()
    {
        for (const int client : clients_) {
            ::close(client);
        }
        ::close(listener_);
    }

    SilentListener(const SilentListener &) = delete;
    SilentListener &operator=(const SilentListener &) = delete;

    /// Begins connections without waiting for them.
    void fillQueue()
    {
        const sockaddr_in address = loopback(port_);
        for (int i = 0; i < unaccepted; ++i) {
            clients_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
            (void)::connect(clients_.back(), reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        }
    }

    /// Accepts a connection, reads from it until the text ends like this, and closes it.
    void readUntil(std::string_view end)
    {
        const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        std::string text;
        std::array<char, 4096> part{};
        for (ssize_t count = 0; !text.ends_with(end) && (count = ::recv(connection, part.data(), part.size(), 0)) > 0;) {
            text.append(part.data(), static_cast<std::size_t>(count));
        }
        ::close(connection);
    }

    std::uint16_t port() const
    {
        return port_;
    }

private:
    int listener_;
    std::uint16_t port_ = 0;
    std::vector<int> clients_;
};

/// Returns "answered", "not sent" or "sent".
std::string outcomeOf(std::uint16_t port, const std::string &method, std::string body, Base::Duration limit)
{
    const HttpRequest request{method, "http://127.0.0.1:" + std::to_string(port) + "/call", std::move(body), {}, limit};
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            auto reply = perform(request);
            return reply ? boost::leaf::result<std::string>("answered") : reply.error();
        },
        [](const Unreachable &error) { return std::string(error.sent ? "sent" : "not sent"); },
        [] { return std::string("an error of another type"); });
}

} // namespace

class TestHttpClient : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestHttpClient);
    CPPUNIT_TEST(notSentIfNothingListens);
    CPPUNIT_TEST(notSentIfNoConnectionIsMadeInTime);
    CPPUNIT_TEST(notSentIfTheBodyIsNotTaken);
    CPPUNIT_TEST(sentIfTheAnswerIsMissing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against "may have been carried out" where no process can have read the call.
    void notSentIfNothingListens()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("not sent"), outcomeOf(Testing::freePort(), "POST", "{}", timeout));
    }

    // Guards against "may have been carried out" after a time-out that came before the connection.
    void notSentIfNoConnectionIsMadeInTime()
    {
        SilentListener listener(0);
        listener.fillQueue();
        CPPUNIT_ASSERT_EQUAL(std::string("not sent"), outcomeOf(listener.port(), "GET", {}, timeout));
    }

    // Guards against "may have been carried out" after a time-out at which a part of the request had not left.
    void notSentIfTheBodyIsNotTaken()
    {
        const SilentListener listener(1);
        CPPUNIT_ASSERT_EQUAL(std::string("not sent"), outcomeOf(listener.port(), "PUT", std::string(moreThanBuffers, 'x'), timeout));
    }

    // Guards against "nothing was carried out" after the whole request was read.
    void sentIfTheAnswerIsMissing()
    {
        for (const std::string method : {"GET", "DELETE", "POST"}) {
            SilentListener listener(1);
            const std::string body = method == "POST" ? "{}" : "";
            auto outcome = std::async(std::launch::async, [&] { return outcomeOf(listener.port(), method, body, {}); });
            listener.readUntil("\r\n\r\n" + body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(method, std::string("sent"), outcome.get());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHttpClient);
