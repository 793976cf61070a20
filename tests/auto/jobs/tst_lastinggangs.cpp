#include "waitingjobs.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

/// Gangs whose tasks run until their job is cancelled.
class TestLastingGangs : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLastingGangs);
    CPPUNIT_TEST(longRunningGangRestartsAfterARefusedStart);
    CPPUNIT_TEST(longRunningGangRestartsHoweverAMemberEnds);
    CPPUNIT_TEST(longRunningGangIsDelayedAfterQuickEnds);
    CPPUNIT_TEST(longRunningGangPreemptsOtherWork);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a gang that lasts and never starts again once the start of a member was refused, and against counts of ready tasks that wrap: all later
    /// submissions would then be refused.
    void longRunningGangRestartsAfterARefusedStart()
    {
        for (const std::uint32_t refused : {0U, 1U, 2U}) {
            OwnerHarness owner({"agent-1", "agent-2", "agent-3"});
            for (const std::string agent : {"agent-1", "agent-2", "agent-3"}) {
                owner.join(agent, workerMilli);
            }
            submitAndCommit(owner, gang(longRunning(submission(1, 3))));
            refuseMember(owner, refused);
            owner.confirmStops();
            owner.advanceTimeWithReports(avoidanceTimeout + 100ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), startsOf(owner, 1));
            CPPUNIT_ASSERT_EQUAL(0U, owner.state.jobs.at(1).readyTasks);
            owner.submit(2, bestEffort(2, 1));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 2));
        }
    }

    /// Guards against members that run without one whose run has ended, and against a gang that stays down after that.
    void longRunningGangRestartsHoweverAMemberEnds()
    {
        for (const RunOutcome outcome : {RunOutcome::Done, RunOutcome::Failed, RunOutcome::Lapsed, RunOutcome::Stopped, RunOutcome::Broken}) {
            OwnerHarness owner({"agent-1", "agent-2"});
            owner.join("agent-1", workerMilli);
            owner.join("agent-2", workerMilli);
            submitAndCommit(owner, gang(longRunning(submission(1, 2))));
            owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), outcome);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
            owner.confirmStops();
            owner.advanceTimeWithReports(avoidanceTimeout + 100ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), startsOf(owner, 1));
        }
    }

    /// Guards against restarts without delay of a gang of which one member fails at once, again and again.
    void longRunningGangIsDelayedAfterQuickEnds()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        SubmitCall call = gang(longRunning(submission(1, 2)));
        call.spec.steps.front().maxPerWorker = 0;
        submitAndCommit(owner, call);
        for (std::uint32_t i = 0; i <= maxImmediateRestarts; ++i) {
            owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Failed, 20);
            owner.confirmStops();
        }
        const std::size_t starts = startsOf(owner, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2 + 2 * maxImmediateRestarts), starts);
        owner.advanceTimeWithReports(longRunningRestartDelayInitial + 50ms);
        CPPUNIT_ASSERT_EQUAL(starts + 2, startsOf(owner, 1));
    }

    /// Guards against a gang that lasts and stays down because long tasks occupy all workers.
    void longRunningGangPreemptsOtherWork()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", 3000);
        owner.join("agent-2", 1000);
        submitAndCommit(owner, submission(1, 4, 60'000));
        SubmitCall call = gang(longRunning(submission(2, 3)));
        call.spec.steps.front().maxPerWorker = 2;
        submitAndCommit(owner, call);
        owner.advanceTimeWithReports(preemptionDelay + 100ms);
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), startsOf(owner, 2));
    }

private:
    /// Lets an agent refuse the start of the member with this index.
    static void refuseMember(OwnerHarness &owner, std::uint32_t index)
    {
        for (const Agent &agent : std::vector<Agent>(owner.state.agents)) {
            for (const RunRef &run : owner.orderedStarts(agent.name)) {
                if (run.task.index == index) {
                    AgentReport report = owner.report(agent.name);
                    report.refusals.push_back({run, RunRefusal::Reason::Unhealthy});
                    owner.feed(AgentReported{agent.name, report});
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLastingGangs);
