#include "rawpeer.h"
#include "recordinghandler.h"

#include "protocol/codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::NetTest;
using namespace std::chrono_literals;

namespace {

/// Bytes that, sent on a new connection, must make the Network close it.
struct FrameFault {
    std::string name;
    bool helloFirst;
    std::vector<std::uint8_t> bytes;
    std::string counter;
};

std::vector<std::uint8_t> corruptPing()
{
    std::vector<std::uint8_t> body = Protocol::encode(Protocol::LinkMessage(Protocol::LinkPing{}));
    body.back() ^= 1U;
    return makeFrame(body);
}

std::vector<std::uint8_t> makeFrame(const Protocol::LinkMessage &message)
{
    return NetTest::makeFrame(Protocol::encode(message));
}

std::vector<FrameFault> frameFaults()
{
    const Protocol::LinkHello hello{{"b", 1}, false};
    return {
        {"a length above maxFrameBytes", true, {0x01, 0x00, 0x00, 0x01}, "net.links.oversized"},
        {"the largest length", true, {0xFF, 0xFF, 0xFF, 0xFF}, "net.links.oversized"},
        {"an oversized first frame, such as HTTP", false, {'G', 'E', 'T', ' '}, "net.links.oversized"},
        {"an empty frame", true, {0, 0, 0, 0}, "net.links.malformed"},
        {"a frame that is no message", true, NetTest::makeFrame(std::vector<std::uint8_t>(100, 0xAA)), "net.links.malformed"},
        {"a checksum that does not match", true, corruptPing(), "net.links.malformed"},
        {"a message before the hello", false, makeFrame(numberedMessage(1)), "net.links.malformed"},
        {"a second hello", true, makeFrame(Protocol::LinkMessage(hello)), "net.links.malformed"},
    };
}

} // namespace

class TestLinkFaults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLinkFaults);
    CPPUNIT_TEST(frameFaultsCloseTheLink);
    CPPUNIT_TEST(cutLinkIsOpenedAfresh);
    CPPUNIT_TEST(silentLinkIsReplaced);
    CPPUNIT_TEST(silentBeforeHelloIsReplaced);
    CPPUNIT_TEST(idleLinkCarriesPings);
    CPPUNIT_TEST(refusedConnectIsTriedAgain);
    CPPUNIT_TEST(otherIncarnationIsNotAccepted);
    CPPUNIT_TEST(restartedPeerReplacesFormer);
    CPPUNIT_TEST(twoLinksToOnePeer);
    CPPUNIT_TEST(slowReaderIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a link that stays open after a malformed frame, and against a malformed frame that affects other links.
    void frameFaultsCloseTheLink()
    {
        Node node("a");
        RawConnection healthy = RawConnection::to(node.port);
        healthy.sendHello("healthy", 1);
        CPPUNIT_ASSERT(node.handler.waitForLinkCount(1));
        for (const FrameFault &fault : frameFaults()) {
            const std::uint64_t before = node.counters.counter(fault.counter).value();
            RawConnection peer = RawConnection::to(node.port);
            if (fault.helloFirst) {
                peer.sendHello("b", 1);
            }
            peer.sendBytes(fault.bytes);
            CPPUNIT_ASSERT_MESSAGE(fault.name, peer.waitForClose());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, before + 1, node.counters.counter(fault.counter).value());
            healthy.sendMessage(Protocol::LinkPing{});
        }
        healthy.sendMessage(numberedMessage(1));
        CPPUNIT_ASSERT(node.handler.waitForEpochs(1));
    }

    /// Guards against a peer that is not reconnected to after its connection broke.
    void cutLinkIsOpenedAfresh()
    {
        const RawListener listener;
        Node node("a");
        node.network.connect({"b", 1}, false, {"127.0.0.1", listener.port});
        for (int round = 0; round < 3; ++round) {
            RawConnection peer = listener.accept();
            peer.sendHello("b", 1);
            CPPUNIT_ASSERT(node.handler.waitForLinkCount(static_cast<std::size_t>(2 * round + 1)));
        }
        CPPUNIT_ASSERT(node.handler.waitForLinks({"up b 1", "down b 1", "up b 1", "down b 1", "up b 1", "down b 1"}));
    }

    /// Guards against a link that stays up although nothing is received, as TCP reports a lost connection only after minutes.
    void silentLinkIsReplaced()
    {
        const RawListener listener;
        Node node("a", [](Net::NetworkConfig &config) { config.linkQuietLimit = 300ms; });
        node.network.connect({"b", 1}, false, {"127.0.0.1", listener.port});
        RawConnection silent = listener.accept();
        silent.sendHello("b", 1);
        RawConnection replacement = listener.accept();
        replacement.sendHello("b", 1);
        CPPUNIT_ASSERT(node.handler.waitForLinkCount(3));
        node.network.send("b", false, numberedMessage(5));
        CPPUNIT_ASSERT(replacement.receiveNumber() == 5U);
        CPPUNIT_ASSERT(silent.waitForClose());
        CPPUNIT_ASSERT(node.counters.counter("net.links.quiet").value() >= 1);
    }

    /// Guards against waiting forever for the LinkHello: on an outgoing link, whose peer may be suspended, and on an accepted one.
    void silentBeforeHelloIsReplaced()
    {
        const RawListener listener;
        Node node("a", [](Net::NetworkConfig &config) { config.linkQuietLimit = 300ms; });
        RawConnection unidentified = RawConnection::to(node.port);
        node.network.connect({"b", 1}, false, {"127.0.0.1", listener.port});
        RawConnection silent = listener.accept();
        RawConnection replacement = listener.accept();
        replacement.sendHello("b", 1);
        CPPUNIT_ASSERT(node.handler.waitForLinkCount(1));
        CPPUNIT_ASSERT(silent.waitForClose());
        CPPUNIT_ASSERT(unidentified.waitForClose());
    }

    /// Guards against an idle link that sends nothing, so that the other side closes it as silent.
    void idleLinkCarriesPings()
    {
        Node node("a");
        RawConnection peer = RawConnection::to(node.port);
        peer.sendHello("b", 1);
        CPPUNIT_ASSERT(std::holds_alternative<Protocol::LinkHello>(peer.receive().value()));
        for (int i = 0; i < 6; ++i) {
            CPPUNIT_ASSERT(std::holds_alternative<Protocol::LinkPing>(peer.receive().value()));
            peer.sendMessage(Protocol::LinkPing{});
        }
        CPPUNIT_ASSERT(node.handler.waitForLinks({"up b 1"}));
    }

    /// Guards against a peer that is not retried after it refused the connection, as before its start.
    void refusedConnectIsTriedAgain()
    {
        Node b("b");
        const Base::Endpoint to = b.endpoint();
        b.network.stop();
        Node a("a");
        a.network.connect({"b", 1}, false, to);
        CPPUNIT_ASSERT(a.waitForCounter("net.links.open-failed", 3));
        Node late("b");
        a.network.connect({"b", 1}, false, late.endpoint());
        CPPUNIT_ASSERT(a.handler.waitForLinks({"up b 1"}));
    }

    /// Guards against messages to another incarnation of a process, which doesn't know what the expected one has accepted.
    void otherIncarnationIsNotAccepted()
    {
        Node b("b");
        Node a("a");
        a.network.connect({"b", 99}, false, b.endpoint());
        CPPUNIT_ASSERT(a.waitForCounter("net.links.wrong-peer", 1));
        a.network.connect({"b", 1}, false, b.endpoint());
        CPPUNIT_ASSERT(a.handler.waitForLinks({"up b 1"}));
    }

    /// Guards against sending to the former incarnation of a restarted peer while its connection is still open.
    void restartedPeerReplacesFormer()
    {
        Node node("a");
        RawConnection former = RawConnection::to(node.port);
        former.sendHello("b", 1);
        CPPUNIT_ASSERT(node.handler.waitForLinkCount(1));
        RawConnection restarted = RawConnection::to(node.port);
        restarted.sendHello("b", 2);
        CPPUNIT_ASSERT(node.handler.waitForLinks({"up b 1", "down b 1", "up b 2"}));
        CPPUNIT_ASSERT(former.waitForClose());
        node.network.send("b", false, numberedMessage(3));
        CPPUNIT_ASSERT(restarted.receiveNumber() == 3U);
    }

    /// Guards against messages lost on the older of two links, and against a peer reported as down while one link is up.
    void twoLinksToOnePeer()
    {
        Node node("a");
        RawConnection older = RawConnection::to(node.port);
        older.sendHello("b", 1);
        older.sendMessage(numberedMessage(1));
        CPPUNIT_ASSERT(node.handler.waitForEpochs(1));
        {
            RawConnection newer = RawConnection::to(node.port);
            newer.sendHello("b", 1);
            newer.sendMessage(numberedMessage(2));
            CPPUNIT_ASSERT(node.handler.waitForEpochs(2));
            older.sendMessage(numberedMessage(3));
            CPPUNIT_ASSERT(node.handler.waitForEpochs(3));
            node.network.send("b", false, numberedMessage(4));
            CPPUNIT_ASSERT(newer.receiveNumber() == 4U);
            // An oversized frame makes the node close the newer link.
            newer.sendBytes({0xFF, 0xFF, 0xFF, 0xFF});
            CPPUNIT_ASSERT(newer.waitForClose());
        }
        node.network.send("b", false, numberedMessage(5));
        CPPUNIT_ASSERT(older.receiveNumber() == 5U);
        CPPUNIT_ASSERT(node.handler.waitForLinks({"up b 1"}));
        older.sendBytes({0xFF, 0xFF, 0xFF, 0xFF});
        CPPUNIT_ASSERT(node.handler.waitForLinks({"up b 1", "down b 1"}));
    }

    /// Guards against a send queue that grows without bound when a peer sends but reads nothing.
    void slowReaderIsBounded()
    {
        constexpr std::size_t limit = 8UL * 1024UL * 1024UL;
        Node node("a", [](Net::NetworkConfig &config) { config.maxQueuedBytes = limit; });
        RawConnection peer = RawConnection::to(node.port);
        peer.sendHello("b", 1);
        CPPUNIT_ASSERT(node.handler.waitForLinkCount(1));
        constexpr std::size_t messageBytes = 256UL * 1024UL;
        // The socket buffers of both sides hold some megabytes before the queue fills.
        for (std::size_t sent = 0; sent < 8 * limit; sent += messageBytes) {
            node.network.send("b", false, messageOfSize(messageBytes));
        }
        CPPUNIT_ASSERT(node.handler.waitForLinks({"up b 1", "down b 1"}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, node.counters.counter("net.links.overflow").value());
        CPPUNIT_ASSERT(peer.waitForClose());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLinkFaults);
