#include "waitingjobs.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

constexpr JobId firstWaiting = 1000;
constexpr std::uint32_t waitingJobs = 500;

/// Upper bound of what a round may look at for the sake of one free worker, however many jobs wait.
constexpr std::uint64_t fewSteps = 10;

/// Submits best-effort jobs of one task, each of which needs another amount of processor capacity. None can be refused, as a former owner may have run it.
void submitWithDifferentNeeds(OwnerHarness &owner, std::uint32_t leastMilli, std::uint32_t estimateMs)
{
    for (std::uint32_t i = 0; i < waitingJobs; ++i) {
        SubmitCall call = bestEffort(firstWaiting + i, 1, estimateMs, leastMilli + i);
        call.mayHaveRun = true;
        owner.submit(firstWaiting + i, call);
    }
}

/// Gives the worker a speed that it is known to have.
void setSpeed(OwnerHarness &owner, const std::string &agent, double speed)
{
    WorkerHealth &health = owner.state.agents[owner.state.agentByName.at(agent)].health;
    health.logSpeed = std::log(speed);
    health.samples = 100;
    health.lastSampleAt = owner.state.now;
}

} // namespace

class TestRoundCost : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRoundCost);
    CPPUNIT_TEST(jobsWithoutRoomAreLeftOut);
    CPPUNIT_TEST(jobsThatAwaitFasterWorkersShareOneSearch);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Load: a backlog of jobs with different needs, on full workers. Guards against rounds that look at each waiting job for each run that ends, so that the owner
    /// falls behind further the more jobs wait.
    void jobsWithoutRoomAreLeftOut()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        for (JobId id = 1; id <= 4; ++id) {
            owner.submit(id, bestEffort(id, 1, 2000, id <= 2 ? workerMilli - 1000 : 1000));
        }
        submitWithDifferentNeeds(owner, 7000, 2000);
        const std::vector<RunRef> starts = owner.orderedStarts("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
        const RoundCounts before = owner.state.roundCounts;
        owner.reportEnd("agent-1", starts.back(), RunOutcome::Done);
        CPPUNIT_ASSERT(owner.state.roundCounts.rounds > before.rounds);
        CPPUNIT_ASSERT_LESSEQUAL(before.steps + fewSteps, owner.state.roundCounts.steps);
    }

    /// Load: a backlog of jobs with different needs that would end late on the only workers with room. Guards against a search of all workers for each of them in
    /// each round.
    void jobsThatAwaitFasterWorkersShareOneSearch()
    {
        OwnerHarness owner({"fast", "slow"});
        owner.join("fast", workerMilli);
        owner.join("slow", workerMilli);
        owner.submit(1, bestEffort(1, 1, 5000, workerMilli));
        owner.submit(2, bestEffort(2, 1, 5000, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        setSpeed(owner, "fast", 2.0);
        setSpeed(owner, "slow", 0.1);
        submitWithDifferentNeeds(owner, 7000, 5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        const RoundCounts before = owner.state.roundCounts;
        owner.reportEnd("slow", owner.orderedStarts("slow").front(), RunOutcome::Done);
        CPPUNIT_ASSERT(owner.state.roundCounts.rounds > before.rounds);
        CPPUNIT_ASSERT_LESSEQUAL(before.workerSearches + fewSteps, owner.state.roundCounts.workerSearches);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRoundCost);
