#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

SubmitCall backgroundSubmission(JobId id, std::uint32_t tasks, std::uint32_t backgroundMilli = 1000)
{
    SubmitCall call = bestEffort(id, tasks, 100, 0);
    call.spec.steps.front().need.backgroundMilli = backgroundMilli;
    return call;
}

} // namespace

class TestBackground : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestBackground);
    CPPUNIT_TEST(takesNoRoomFromOthers);
    CPPUNIT_TEST(prefersWorkerWithMostFreeCpu);
    CPPUNIT_TEST(runTimesDoNotAffectSpeed);
    CPPUNIT_TEST(restartedAgentsLearnWhatTheyRun);
    CPPUNIT_TEST(adoptedRunsCountAgainstCapacity);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against background tasks that occupy the capacity of other tasks, and against background tasks that wait for
    /// capacity which they do not need.
    void takesNoRoomFromOthers()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        owner.submit(1, bestEffort(1, 1));
        owner.submit(2, backgroundSubmission(2, 2, 4000));
        owner.submit(3, bestEffort(3, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), owner.orderedStartCount());
    }

    /// Guards against background tasks that share the free CPU time of one worker while another worker is idle.
    void prefersWorkerWithMostFreeCpu()
    {
        OwnerHarness owner({"agent-1", "agent-2", "agent-3"});
        owner.join("agent-1", 8000);
        owner.join("agent-2", 8000);
        owner.join("agent-3", 8000);
        owner.submit(1, bestEffort(1, 1, 60'000, 7000));
        owner.submit(2, backgroundSubmission(2, 2, 6000));
        const std::string &busy = owner.state.agents[0].used.cpuMilli > 0 ? "agent-1" : owner.state.agents[1].used.cpuMilli > 0 ? "agent-2" : "agent-3";
        for (const Agent &agent : owner.state.agents) {
            CPPUNIT_ASSERT_EQUAL(agent.name == busy ? 0U : 6000U, agent.used.backgroundMilli);
        }
    }

    /// Guards against a worker that is estimated as slow because its background runs had to wait for other runs.
    void runTimesDoNotAffectSpeed()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, backgroundSubmission(1, 1));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done, 5000);
        CPPUNIT_ASSERT(owner.answerTo(1).has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), owner.state.agents[0].health.samples);
    }

    /// Guards against a long-running task that misses its latency target because its agent has restarted and no longer knows
    /// the requirements of the run.
    void restartedAgentsLearnWhatTheyRun()
    {
        SubmitCall call = submission(7, 1);
        call.spec.steps.front().longRunning = true;
        call.spec.steps.front().latencyTargetMs = 80;
        OwnerHarness owner({"agent-1"}, 2, {{7, call.rules, call.spec, {0}, {0}, {}}});
        owner.join("agent-1", 8000, {{{{7, 0, 0}, 1}, {}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.runRequirements.size());
        CPPUNIT_ASSERT_EQUAL(80U, owner.runRequirements.front().latencyTargetMs);
        CPPUNIT_ASSERT(owner.runRequirements.front().need == call.spec.steps.front().need);
    }

    /// Guards against a worker that gets more tasks than its capacity allows: a restarted agent reports its runs without their
    /// requirements, which are known only once the job is submitted again.
    void adoptedRunsCountAgainstCapacity()
    {
        OwnerHarness owner({"agent-1"}, 2);
        owner.join("agent-1", 2000, {{{{7, 0, 0}, 1}, {}}});
        owner.submit(1, bestEffort(7, 1, 60'000, 2000));
        owner.submit(2, bestEffort(8, 1, 100, 2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(2000U, owner.state.agents[0].used.cpuMilli);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBackground);
