#include "site.h"

#include "../system/waiting.h"

#include "platform/rulesdocument.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace LaburnumFlow;
using namespace NodeTest;
using SystemTest::generousSeconds;
using SystemTest::waitFor;

namespace {

constexpr std::size_t thinLinkBytesPerSecond = 250'000; ///< 2 Mbit/s
constexpr int manyRoutes = 1'320;
constexpr long answerTimeoutMs = 3000;

std::string jobName(int number)
{
    constexpr int firstNumber = 1000; // Four digits
    return "000000000000" + std::to_string(firstNumber + number);
}

} // namespace

/// Tests entries whose links to the store take seconds to carry a large value.
class TestThinLinks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestThinLinks);
    CPPUNIT_TEST(largeRulesComeOnceAndRequestsAreServedMeanwhile);
    CPPUNIT_TEST(changeInTheRulesIsAdoptedAfterALostHistory);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against rules that never come into force, and a link full of reads that are thrown away, when the rules take longer to transfer than any
    /// call to the store may take.
    void largeRulesComeOnceAndRequestsAreServedMeanwhile()
    {
        const std::string rulesKey(Platform::rulesKey);
        Site site(2, thinLinkBytesPerSecond);
        site.waitUntilReady(0);
        site.waitUntilReady(1);
        site.waitForOwner();
        int version = 1;
        const auto inForce = [&] { return site.rulesVersion(0) == version && site.rulesVersion(1) == version; };
        CPPUNIT_ASSERT(waitFor(generousSeconds, inForce));
        // The owner has a watch of its own until it has heard the other entry.
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] {
            const unsigned transfers = site.platform.transfers(rulesKey);
            site.putRules(++version, 0);
            CPPUNIT_ASSERT(waitFor(generousSeconds, inForce));
            return site.platform.transfers(rulesKey) == transfers + 1;
        }));
        const unsigned before = site.platform.transfers(rulesKey);
        site.putRules(++version, manyRoutes);
        int jobs = 0;
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] {
            CPPUNIT_ASSERT_EQUAL(200L, site.submit(jobs % 2, jobName(jobs), 1, 20, false, answerTimeoutMs).status);
            ++jobs;
            return inForce();
        }));
        // The owner gets the change from the other entry.
        CPPUNIT_ASSERT_EQUAL(before + 1, site.platform.transfers(rulesKey));
        for (int i = 0; i < jobs; ++i) {
            CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.jobState(i % 2, jobName(i)) == "completed"; }));
        }
    }

    /// Guards against rules that stay out of force for good: a change that no watch reported, and whose history the store dropped.
    void changeInTheRulesIsAdoptedAfterALostHistory()
    {
        Site site(1);
        site.waitUntilReady(0);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.rulesVersion(0) == 1; }));
        site.platform.watchesHearNothing = true;
        site.putRules(2, 0);
        site.platform.dropHistory();
        site.platform.watchesHearNothing = false;
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.rulesVersion(0) == 2; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestThinLinks);
