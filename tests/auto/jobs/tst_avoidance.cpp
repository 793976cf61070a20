#include "waitingjobs.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

/// A task that failed on a worker goes to others first, but not to workers that may never run it.
class TestAvoidance : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAvoidance);
    CPPUNIT_TEST(failedTaskReturnsToTheOnlyWorkerOfItsKind);
    CPPUNIT_TEST(failedTaskReturnsToTheOnlyWorkerWithATicket);
    CPPUNIT_TEST(failedTaskReturnsWhileOtherWorkersRunItsStep);
    CPPUNIT_TEST(failedTaskReturnsWhileOtherWorkersStayFull);
    CPPUNIT_TEST(failedGangMemberReturnsWhileOtherWorkersAreTaken);
    CPPUNIT_TEST(refusedTaskReturnsToTheOnlyWorkerOfItsKind);
    CPPUNIT_TEST(failedTaskPrefersAnotherWorker);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a task that failed on the only worker that has its label and waits for ever for others, which lack it.
    void failedTaskReturnsToTheOnlyWorkerOfItsKind()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.joinOnRack("agent-2", rareLabel, workerMilli);
        owner.submit(1, requiring(submission(1, 1), rareLabel));
        owner.commit();
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
    }

    /// Guards against the same if other workers have the label, but the advice service doesn't allow the step there.
    void failedTaskReturnsToTheOnlyWorkerWithATicket()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        owner.submit(1, advised(submission(1, 1)));
        owner.commit();
        owner.feed(AdviceGiven{owner.adviceRequests.back().number, true, {{"worker-agent-2", "ticket"}}, std::nullopt});
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
    }

    /// Guards against the same if each other worker has as many tasks of the step as it may have. Such tasks may never end.
    void failedTaskReturnsWhileOtherWorkersRunItsStep()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        SubmitCall call = submission(1, 2);
        call.spec.steps.front().maxPerWorker = 1;
        call.spec.steps.front().longRunning = true;
        owner.submit(1, call);
        owner.commit();
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Failed);
        owner.advanceTimeWithReports(avoidanceTimeout + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStarts("agent-2").size());
    }

    /// Guards against the same if the other workers have no room for long, while the one on which the task failed is idle.
    void failedTaskReturnsWhileOtherWorkersStayFull()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, workerMilli));
        owner.join("agent-2", workerMilli);
        submitAndCommit(owner, submission(2, 1));
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Failed);
        owner.advanceTimeWithReports(avoidanceTimeout + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStarts("agent-2").size());
    }

    /// Guards against a gang that never starts again because earlier members take all workers but the one that its last member avoids.
    void failedGangMemberReturnsWhileOtherWorkersAreTaken()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        SubmitCall call = submission(1, 2, 100, workerMilli);
        call.spec.steps.front().gang = true;
        call.spec.steps.front().maxPerWorker = 1;
        owner.submit(1, call);
        owner.commit();
        const std::string lastAgent = owner.orderedStarts("agent-1").at(0).task.index == 1 ? "agent-1" : "agent-2";
        owner.reportEnd(lastAgent, owner.orderedStarts(lastAgent).at(0), RunOutcome::Failed);
        owner.confirmStops();
        owner.advanceTimeWithReports(avoidanceTimeout + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), startsOf(owner, 1));
    }

    /// Guards against the same after a worker has refused the start of the task.
    void refusedTaskReturnsToTheOnlyWorkerOfItsKind()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.joinOnRack("agent-2", rareLabel, workerMilli);
        owner.submit(1, requiring(submission(1, 1), rareLabel));
        owner.commit();
        AgentReport report = owner.report("agent-2");
        report.refusals.push_back({owner.orderedStarts("agent-2").at(0), RunRefusal::Reason::NoRoom});
        owner.feed(AgentReported{"agent-2", report});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
    }

    /// Guards against using up the attempts of a task on a worker that fails all it starts, while another one becomes free soon.
    void failedTaskPrefersAnotherWorker()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 100, workerMilli));
        owner.join("agent-2", workerMilli);
        submitAndCommit(owner, submission(2, 1));
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").at(0), RunOutcome::Failed);
        owner.advanceTimeWithReports(avoidanceTimeout / 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts("agent-2").size());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStarts("agent-1").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAvoidance);
