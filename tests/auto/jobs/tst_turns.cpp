#include "waitingjobs.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;

namespace {

constexpr std::uint32_t reports = 60;

AgentReport reportOfEnd(const OwnerHarness &owner, const RunRef &run, std::uint64_t number)
{
    AgentReport report = owner.report("agent-1");
    report.ends.push_back({number, run, RunOutcome::Done, 100, {}});
    return report;
}

template<class Effect>
std::vector<Effect> effectsOfType(const OwnerEffects &effects)
{
    std::vector<Effect> found;
    for (const OwnerEffect &effect : effects) {
        if (const auto *wanted = std::get_if<Effect>(&effect)) {
            found.push_back(*wanted);
        }
    }
    return found;
}

} // namespace

class TestTurns : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTurns);
    CPPUNIT_TEST(eventsOfOneTurnShareRoundAndOrders);
    CPPUNIT_TEST(noOrdersWithoutAuthorityAtTheEndOfTheTurn);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Load: many runs that end at the same time while jobs wait. Guards against a scheduling round, and an order to the agent, for each of their reports.
    void eventsOfOneTurnShareRoundAndOrders()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", reports * 1000);
        owner.submit(1, bestEffort(1, 2 * reports, 5000, 1000));
        const std::vector<RunRef> starts = owner.orderedStarts("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(reports), starts.size());
        const std::uint64_t roundsBefore = owner.state.roundCounts.rounds;
        for (std::uint32_t i = 0; i < reports; ++i) {
            const OwnerEffects effects = handleEvent(owner.state, AgentReported{"agent-1", reportOfEnd(owner, starts[i], i + 1)});
            CPPUNIT_ASSERT(effectsOfType<SendOrders>(effects).empty());
        }
        const std::vector<SendOrders> orders = effectsOfType<SendOrders>(endTurn(owner.state));
        CPPUNIT_ASSERT_EQUAL(roundsBefore + 1, owner.state.roundCounts.rounds);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(reports), orders.front().orders.starts.front().runs.size());
    }

    /// Guards against orders by an owner whose authority ends between an event and the end of its turn, as another entry may own the jobs then.
    void noOrdersWithoutAuthorityAtTheEndOfTheTurn()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        owner.feed(AuthorityRenewed{owner.state.now + std::chrono::milliseconds(100), true, owner.state.now});
        handleEvent(owner.state, CallArrived{1, bestEffort(1, 1)});
        handleEvent(owner.state, TimePassed{owner.state.now + std::chrono::milliseconds(200), owner.state.wall});
        CPPUNIT_ASSERT(effectsOfType<SendOrders>(endTurn(owner.state)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTurns);
