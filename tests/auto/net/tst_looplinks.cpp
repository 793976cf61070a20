#include "eventloop/eventloop.h"
#include "net/looplinks.h"

#include "../freeport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <span>
#include <string>
#include <utility>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Net;
using namespace std::chrono_literals;

namespace {

constexpr Base::Duration generousTime = 10s; ///< after which a frame doesn't arrive any more

std::vector<std::uint8_t> toBytes(const std::string &text)
{
    return {text.begin(), text.end()};
}

/// Records the events of links and stops the loop when the awaited condition holds.
class Recorder : public LinkHandler
{
public:
    explicit Recorder(EventLoop::Loop &loop) : loop_(loop) { }

    void linkConnected(LinkId link) override
    {
        connected.push_back(link);
        check();
    }

    void linkAccepted(LinkId link) override
    {
        accepted.push_back(link);
        check();
    }

    void linkFrame(LinkId /*link*/, std::span<const std::uint8_t> frame) override
    {
        frames.emplace_back(frame.begin(), frame.end());
        check();
    }

    void linkClosed(LinkId link, LinkEnd reason) override
    {
        closed.push_back(link);
        lastEnd = reason;
        check();
    }

    /// Runs the loop until the condition holds.
    void runUntil(std::function<bool()> condition)
    {
        condition_ = std::move(condition);
        if (!condition_()) {
            loop_.run();
        }
        condition_ = nullptr;
    }

    std::vector<LinkId> connected;
    std::vector<LinkId> accepted;
    std::vector<LinkId> closed;
    LinkEnd lastEnd = LinkEnd::Lost;
    std::vector<std::string> frames;

private:
    void check()
    {
        if (condition_ && condition_()) {
            loop_.stop();
        }
    }

    EventLoop::Loop &loop_;
    std::function<bool()> condition_;
};

/// Both ends of a link, on one loop.
struct ConnectedPair {
    ConnectedPair() : recorder(loop), links(loop, recorder)
    {
        const Base::Endpoint endpoint{"127.0.0.1", Testing::freePort()};
        CPPUNIT_ASSERT(links.listen(endpoint));
        dialed = links.dial(endpoint);
        recorder.runUntil([this] { return recorder.accepted.size() == 1 && recorder.connected.size() == 1; });
    }

    LinkId accepted() const
    {
        return recorder.accepted.at(0);
    }

    EventLoop::Loop loop;
    Recorder recorder;
    LoopLinks links;
    LinkId dialed = 0;
};

} // namespace

class TestLoopLinks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLoopLinks);
    CPPUNIT_TEST(keepsFramesWholeAndInOrder);
    CPPUNIT_TEST(reportsRefusedConnection);
    CPPUNIT_TEST(reportsPeersEnd);
    CPPUNIT_TEST(closedLinkIsSilent);
    CPPUNIT_TEST(framesThatWereSentTooEarlyArrive);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against frames that are split, joined or reordered.
    void keepsFramesWholeAndInOrder()
    {
        ConnectedPair ends;
        const std::vector<std::string> sent{"a", "", std::string(300'000, 'x'), "last"};
        for (const std::string &frame : sent) {
            ends.links.send(ends.dialed, toBytes(frame));
        }
        ends.recorder.runUntil([&] { return ends.recorder.frames.size() == sent.size(); });
        CPPUNIT_ASSERT(ends.recorder.frames == sent);
    }

    /// Guards against a link on which nothing is ever sent because a frame was sent before it was connected.
    void framesThatWereSentTooEarlyArrive()
    {
        EventLoop::Loop loop;
        Recorder recorder(loop);
        LoopLinks links(loop, recorder);
        const Base::Endpoint endpoint{"127.0.0.1", Testing::freePort()};
        CPPUNIT_ASSERT(links.listen(endpoint));
        const LinkId dialed = links.dial(endpoint);
        links.send(dialed, toBytes("early"));
        recorder.runUntil([&] { return recorder.accepted.size() == 1 && recorder.connected.size() == 1; });
        links.send(dialed, toBytes("late"));
        loop.callAfter(generousTime, [&loop] { loop.stop(); });
        recorder.runUntil([&] { return recorder.frames.size() == 2; });
        CPPUNIT_ASSERT((std::vector<std::string>{"early", "late"} == recorder.frames));
    }

    /// Guards against a refused connection that is not reported as refused, so that its caller keeps trying an address without a listener.
    void reportsRefusedConnection()
    {
        EventLoop::Loop loop;
        Recorder recorder(loop);
        LoopLinks links(loop, recorder);
        const LinkId link = links.dial({"127.0.0.1", Testing::freePort()});
        recorder.runUntil([&] { return recorder.closed.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(link, recorder.closed[0]);
        CPPUNIT_ASSERT(recorder.connected.empty());
        CPPUNIT_ASSERT(recorder.lastEnd == LinkEnd::Refused);
    }

    /// Guards against a link that is kept after the peer has closed it, as when its process has ended.
    void reportsPeersEnd()
    {
        ConnectedPair ends;
        ends.links.close(ends.accepted());
        ends.recorder.runUntil([&] { return ends.recorder.closed.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(ends.dialed, ends.recorder.closed[0]);
    }

    /// Guards against handler calls, and sent frames, for a link that close() has closed.
    void closedLinkIsSilent()
    {
        ConnectedPair ends;
        ends.links.close(ends.dialed);
        ends.links.send(ends.dialed, toBytes("lost"));
        ends.recorder.runUntil([&] { return ends.recorder.closed.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(ends.accepted(), ends.recorder.closed[0]);
        CPPUNIT_ASSERT(ends.recorder.frames.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLoopLinks);
