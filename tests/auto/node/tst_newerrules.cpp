#include "site.h"

#include "../net/rawpeer.h"
#include "../system/waiting.h"

#include "jobs/messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <future>
#include <mutex>
#include <stop_token>
#include <string>
#include <thread>

using namespace LaburnumFlow;
using namespace NodeTest;
using SystemTest::generousSeconds;
using SystemTest::HttpResult;
using SystemTest::waitFor;

namespace {

constexpr std::chrono::milliseconds announcementInterval{100}; ///< far below the time after which a silent entry is no source of rules

/// Another entry, as the entry under test sees it: announces rules of a version and never answers a request for them.
class AnnouncingEntry
{
public:
    AnnouncingEntry(std::uint16_t port, std::uint64_t version)
        : link_(NetTest::RawConnection::to(port)), thread_([this, version](const std::stop_token &stop) { announceUntil(stop, version); })
    {
    }

private:
    void send(const Jobs::LinkMessage &message) const
    {
        link_.sendBytes(NetTest::makeFrame(Jobs::encodeMessage(message)));
    }

    void announceUntil(const std::stop_token &stop, std::uint64_t version) const
    {
        send(Jobs::EntryHello{"announcing-entry"});
        std::mutex mutex;
        std::condition_variable_any stopped;
        std::unique_lock lock(mutex);
        while (!stop.stop_requested()) {
            send(Jobs::RulesAnnouncement{version, 1, 1, 1, true});
            stopped.wait_for(lock, stop, announcementInterval, [] { return false; });
        }
    }

    NetTest::RawConnection link_;
    std::jthread thread_;
};

std::string jobId(int version)
{
    constexpr int firstNumber = 1000; // Four digits
    return "000000000000" + std::to_string(firstNumber + version);
}

} // namespace

/// Tests what an entry answers to requests without a route while it knows that newer rules exist.
class TestNewerRules : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestNewerRules);
    CPPUNIT_TEST(requestIsServedByTheRulesThatArriveWhileItWaits);
    CPPUNIT_TEST(requestIsRefusedAsRetryableWhileNewerRulesDoNotArrive);
    CPPUNIT_TEST(knownRoutesAreServedMeanwhile);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a 404 for a route that the newest confirmed rules have, from an entry that hasn't received them yet.
    void requestIsServedByTheRulesThatArriveWhileItWaits()
    {
        Site site(1);
        prepare(site);
        int version = 1;
        // A slow machine may write the rules too late for an attempt, which is then refused as retryable.
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] {
            ++version;
            const std::string newRoute = "other-" + std::to_string(version - 1);
            const AnnouncingEntry other(site.peersPort(0), static_cast<std::uint64_t>(version));
            CPPUNIT_ASSERT(waitForNewestVersion(site, version));
            std::future<HttpResult> answer = std::async(std::launch::async, [&] { return site.submitTo(newRoute, 0, jobId(version), 1, 20, false); });
            const auto answered = [&] { return answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready; };
            CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return answered() || openRequests(site) > 0; }));
            site.putRules(version, version);
            return answer.get().status == 200;
        }));
    }

    /// Guards against a 404 for a route that newer rules may have, and against a request that waits for them until its deadline.
    void requestIsRefusedAsRetryableWhileNewerRulesDoNotArrive()
    {
        Site site(1);
        prepare(site);
        {
            const AnnouncingEntry other(site.peersPort(0), 2);
            CPPUNIT_ASSERT(waitForNewestVersion(site, 2));
            CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.submitTo("other-0", 0, jobId(1), 1, 20, false).status == 503; }));
        }
        // No entry has newer rules any more.
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.submitTo("other-0", 0, jobId(2), 1, 20, false).status == 404; }));
    }

    /// Guards against an entry that stops serving while newer rules don't arrive.
    void knownRoutesAreServedMeanwhile()
    {
        Site site(1);
        prepare(site);
        const AnnouncingEntry other(site.peersPort(0), 2);
        CPPUNIT_ASSERT(waitForNewestVersion(site, 2));
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(0, jobId(1), 1, 20, false).status);
    }

private:
    static void prepare(Site &site)
    {
        site.waitUntilReady(0);
        site.waitForOwner();
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.rulesVersion(0) == 1; }));
    }

    static bool waitForNewestVersion(const Site &site, int version)
    {
        return waitFor(generousSeconds, [&] { return metricSum(site.entryMetrics(0), "laburnumflow_rules_newest_version") == version; });
    }

    static double openRequests(const Site &site)
    {
        return metricSum(site.entryMetrics(0), "laburnumflow_open_requests");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestNewerRules);
