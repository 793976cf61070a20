#include "waitingjobs.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

/// A worker that was suspended gets single runs until one is done.
class TestProbes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestProbes);
    CPPUNIT_TEST(probedWorkerGetsWorkBesideALongRunningTask);
    CPPUNIT_TEST(probedWorkerGetsWorkBesideALongProbe);
    CPPUNIT_TEST(probedWorkerGetsWorkOnceItsProbeIsCancelled);
    CPPUNIT_TEST(probedWorkerGetsOneRunAtATime);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a worker that gets no work any more after some failures because a task that never ends runs on it.
    void probedWorkerGetsWorkBesideALongRunningTask()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, longRunning(submission(1, 1)));
        suspendWorker(owner);
        submitAndCommit(owner, submission(4, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Done);
        owner.submit(5, bestEffort(5, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 5));
    }

    /// Guards against a worker that gets no other work for as long as its probe runs, which may last.
    void probedWorkerGetsWorkBesideALongProbe()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        suspendWorker(owner);
        submitAndCommit(owner, longRunning(submission(4, 1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
        submitAndCommit(owner, submission(5, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 5));
        owner.advanceTimeWithReports(probeTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 5));
    }

    /// Guards against a worker that waits for the end of a probe which has been cancelled.
    void probedWorkerGetsWorkOnceItsProbeIsCancelled()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, longRunning(submission(1, 1)));
        suspendWorker(owner);
        submitAndCommit(owner, submission(4, 1, 60'000));
        submitAndCommit(owner, submission(5, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 5));
        owner.feed(CallArrived{9, CancelCall{4}});
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 5));
    }

    /// Guards against many attempts that are used up on a worker which still fails all it starts.
    void probedWorkerGetsOneRunAtATime()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        suspendWorker(owner);
        submitAndCommit(owner, submission(4, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Failed);
        owner.advanceTimeWithReports(suspensionInitial);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
        owner.advanceTimeWithReports(suspensionInitial + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 4));
    }

private:
    /// Lets tasks of two jobs fail on the first agent's worker, and waits until it may be probed.
    static void suspendWorker(OwnerHarness &owner)
    {
        for (const JobId job : {JobId(2), JobId(3)}) {
            SubmitCall failing = submission(job, 1);
            failing.rules.maxAttempts = 1;
            submitAndCommit(owner, failing);
            CPPUNIT_ASSERT_EQUAL(job, owner.orderedStarts("agent-1").back().task.job);
            owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Failed);
            commitWithReports(owner);
        }
        owner.advanceTimeWithReports(suspensionInitial);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestProbes);
