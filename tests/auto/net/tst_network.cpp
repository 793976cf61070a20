#include "rawpeer.h"
#include "recordinghandler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::NetTest;

class TestNetwork : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestNetwork);
    CPPUNIT_TEST(messagesInOrder);
    CPPUNIT_TEST(sendersOnManyThreads);
    CPPUNIT_TEST(bothSidesConnect);
    CPPUNIT_TEST(datagrams);
    CPPUNIT_TEST(boundAddressRefused);
    CPPUNIT_TEST(disconnectCloses);
    CPPUNIT_TEST(messageWithoutLinkIsCounted);
    CPPUNIT_TEST(stopSendsWhatIsQueued);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against messages that are lost or reordered when many are sent with one write.
    void messagesInOrder()
    {
        Node a("a");
        Node b("b");
        a.network.connect({"b", 1}, false, b.endpoint());
        CPPUNIT_ASSERT(a.handler.waitForLinks({"up b 1"}));
        CPPUNIT_ASSERT(b.handler.waitForLinks({"up a 1"}));
        constexpr std::uint64_t count = 20'000;
        for (std::uint64_t i = 0; i < count; ++i) {
            a.network.send("b", false, numberedMessage(i));
        }
        b.network.send("a", false, numberedMessage(7));
        CPPUNIT_ASSERT(b.handler.waitForEpochs(count));
        CPPUNIT_ASSERT(a.handler.waitForEpochs(1));
        const auto received = b.handler.epochs();
        for (std::uint64_t i = 0; i < count; ++i) {
            CPPUNIT_ASSERT_EQUAL(i, received[i]);
        }
    }

    /// Guards against data races between the callers of send() and the net thread.
    void sendersOnManyThreads()
    {
        Node a("a");
        Node b("b");
        a.network.connect({"b", 1}, false, b.endpoint());
        CPPUNIT_ASSERT(a.handler.waitForLinkCount(1));
        std::vector<std::thread> senders;
        senders.reserve(4);
        for (int i = 0; i < 4; ++i) {
            senders.emplace_back([&a] {
                for (std::uint64_t n = 0; n < 500; ++n) {
                    a.network.send("b", false, numberedMessage(n));
                }
            });
        }
        for (std::thread &sender : senders) {
            sender.join();
        }
        CPPUNIT_ASSERT(b.handler.waitForEpochs(2000));
    }

    /// Guards against two entries that connect to each other at the same moment and then close each other's links.
    void bothSidesConnect()
    {
        Node a("a");
        Node b("b");
        a.network.connect({"b", 1}, false, b.endpoint());
        b.network.connect({"a", 1}, false, a.endpoint());
        CPPUNIT_ASSERT(a.handler.waitForLinkCount(1));
        CPPUNIT_ASSERT(b.handler.waitForLinkCount(1));
        for (std::uint64_t i = 0; i < 100; ++i) {
            a.network.send("b", false, numberedMessage(i));
            b.network.send("a", false, numberedMessage(i));
        }
        CPPUNIT_ASSERT(a.handler.waitForEpochs(100));
        CPPUNIT_ASSERT(b.handler.waitForEpochs(100));
        CPPUNIT_ASSERT(a.handler.waitForLinks({"up b 1"}));
        CPPUNIT_ASSERT(b.handler.waitForLinks({"up a 1"}));
    }

    /// Guards against a UDP port that differs from the TCP port, since peers know only one port number, and against a
    /// malformed datagram that stops the reception of others.
    void datagrams()
    {
        Node a("a");
        Node b("b");
        const int raw = ::socket(AF_INET, SOCK_DGRAM, 0);
        const auto to = *Net::Internal::toAddress(b.endpoint());
        CPPUNIT_ASSERT_EQUAL(ssize_t{4}, ::sendto(raw, "junk", 4, 0, to.get(), to.length));
        ::close(raw);
        CPPUNIT_ASSERT(b.waitForCounter("net.datagrams.malformed", 1));
        a.network.sendDatagram(b.endpoint(), Protocol::EntryHello{});
        CPPUNIT_ASSERT(b.handler.waitForDatagrams(1));
        CPPUNIT_ASSERT(b.handler.datagramSources().front() == a.endpoint());
        a.network.sendDatagram({"not-an-address", 1}, Protocol::EntryHello{});
        CPPUNIT_ASSERT(a.waitForCounter("net.datagrams.dropped", 1));
    }

    /// Guards against bind() succeeding although the address is in use or not numeric.
    void boundAddressRefused()
    {
        const Node a("a");
        for (const Base::Endpoint &listen : {a.endpoint(), Base::Endpoint{"localhost", 0}}) {
            Base::CounterRegistry counters;
            RecordingHandler handler;
            Net::NetworkConfig config;
            config.listen = listen;
            Net::Network network(config, handler, counters);
            const bool refused = boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<bool> {
                    BOOST_LEAF_AUTO(port, network.bind());
                    return port == 0;
                },
                [&](const Net::BindFailed &failed) { return failed.endpoint == listen && failed.errorNumber != 0; },
                [] { return false; });
            CPPUNIT_ASSERT(refused);
        }
    }

    /// Guards against links that stay open after disconnect().
    void disconnectCloses()
    {
        Node a("a");
        Node b("b", [](Net::NetworkConfig &config) { config.isAgent = true; });
        a.network.connect({"b", 1}, true, b.endpoint());
        CPPUNIT_ASSERT(a.handler.waitForLinks({"up agent b 1"}));
        a.network.disconnect("b", true);
        CPPUNIT_ASSERT(a.handler.waitForLinks({"up agent b 1", "down agent b 1"}));
        CPPUNIT_ASSERT(b.handler.waitForLinks({"up a 1", "down a 1"}));
    }

    /// Guards against dropped messages that are not counted, and against an agent mistaken for the entry of the same name.
    void messageWithoutLinkIsCounted()
    {
        constexpr std::size_t frameLimit = 64UL * 1024UL;
        Node a("a", [](Net::NetworkConfig &config) { config.maxSentFrameBytes = frameLimit; });
        Node b("b");
        a.network.send("b", false, numberedMessage(1));
        CPPUNIT_ASSERT(a.waitForCounter("net.messages.dropped", 1));
        a.network.connect({"b", 1}, false, b.endpoint());
        CPPUNIT_ASSERT(a.handler.waitForLinkCount(1));
        a.network.send("b", true, numberedMessage(1));
        a.network.send("b", false, messageOfSize(frameLimit));
        CPPUNIT_ASSERT(a.waitForCounter("net.messages.dropped", 3));
        a.network.send("b", false, numberedMessage(2));
        CPPUNIT_ASSERT(b.handler.waitForEpochs(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, b.handler.epochs().front());
    }

    /// Guards against a graceful stop that loses the last messages. They exceed what the sockets' buffers hold.
    void stopSendsWhatIsQueued()
    {
        Node a("a", [](Net::NetworkConfig &config) { config.flushTimeout = testTimeout; });
        RawConnection peer = RawConnection::to(a.port);
        peer.sendHello("b", 1);
        CPPUNIT_ASSERT(a.handler.waitForLinkCount(1));
        constexpr std::size_t count = 12;
        constexpr std::size_t messageBytes = 1024UL * 1024UL;
        for (std::size_t i = 0; i < count; ++i) {
            a.network.send("b", false, messageOfSize(messageBytes));
        }
        CPPUNIT_ASSERT(a.waitForCounter("net.messages.sent", count));
        // This message is queued in a later iteration of the loop, when the writes of the earlier ones have blocked.
        a.network.send("b", false, numberedMessage(1));
        CPPUNIT_ASSERT(a.waitForCounter("net.messages.sent", count + 1));
        std::atomic<bool> stopping{false};
        std::thread stopper([&] {
            stopping = true;
            stopping.notify_one();
            a.network.stop();
        });
        stopping.wait(false);
        CPPUNIT_ASSERT(peer.waitForClose());
        stopper.join();
        CPPUNIT_ASSERT(peer.bytesBeforeClose > count * messageBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestNetwork);
