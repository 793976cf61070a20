#include "waitingjobs.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

/// Room that is kept for gangs and long-running tasks must not keep others from starting in vain.
class TestReservations : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestReservations);
    CPPUNIT_TEST(gangBesideLongRunningTasksReservesNothingInVain);
    CPPUNIT_TEST(gangBesideLongRunningTasksReservesWhatComesFree);
    CPPUNIT_TEST(longRunningTaskReservesNothingInVain);
    CPPUNIT_TEST(longRunningTaskReservesOnlyForItself);
    CPPUNIT_TEST(cancelledGangLetsOthersStartAtOnce);
    CPPUNIT_TEST(shortWorkRunsWhileAGangWaitsForLongRuns);
    CPPUNIT_TEST(longWorkRunsBesideTheRoomOfAGang);
    CPPUNIT_TEST(longWorkDoesNotDelayAGang);
    CPPUNIT_TEST(runsThatTakeLongerKeepOthersOutForAShortTime);
    CPPUNIT_TEST(gangStartsBesideWorkThatAlwaysTakesLonger);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against workers that are reserved for ever for a gang which needs the room of tasks that never end.
    void gangBesideLongRunningTasksReservesNothingInVain()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        submitAndCommit(owner, longRunning(submission(1, 2, 100, 13'000)));
        submitAndCommit(owner, gang(submission(2, 2, 100, 22'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        owner.submit(3, bestEffort(3, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 3));
    }

    /// Guards against a gang that never starts beside tasks that never end because others take all room that comes free.
    void gangBesideLongRunningTasksReservesWhatComesFree()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        submitAndCommit(owner, longRunning(submission(1, 2, 100, 13'000)));
        submitAndCommit(owner, submission(2, 2, 60'000, 15'000));
        submitAndCommit(owner, gang(submission(3, 2, 100, 18'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        submitAndCommit(owner, submission(4, 2, 120'000, 15'000));
        for (const std::string agent : {"agent-1", "agent-2"}) {
            for (const RunRef &run : owner.orderedStarts(agent)) {
                if (run.task.job == 2) {
                    owner.reportEnd(agent, run, RunOutcome::Done, 60'000);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 4));
    }

    /// Guards against workers that are reserved for ever, and runs that are stopped, for a task whose room other tasks hold that never end.
    void longRunningTaskReservesNothingInVain()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        SubmitCall first = longRunning(submission(1, 1));
        SubmitCall second = longRunning(submission(2, 1));
        for (SubmitCall *call : {&first, &second}) {
            call->spec.steps.front().need.memoryMb = 40'000;
        }
        submitAndCommit(owner, first);
        submitAndCommit(owner, second);
        submitAndCommit(owner, submission(3, 1, 60'000));
        owner.advanceTimeWithReports(preemptionDelay + 1s);
        owner.submit(4, bestEffort(4, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
    }

    /// Guards against reserving the room of a whole step of which all tasks but one run already.
    void longRunningTaskReservesOnlyForItself()
    {
        OwnerHarness owner({"agent-1", "agent-2", "agent-3"});
        for (const std::string agent : {"agent-1", "agent-2", "agent-3"}) {
            owner.join(agent, 2000);
        }
        submitAndCommit(owner, longRunning(submission(1, 3)));
        submitAndCommit(owner, submission(2, 4, 60'000));
        // The task must not start again at once where it has failed, so one that waits takes its room.
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Failed);
        owner.advanceTimeWithReports(avoidanceTimeout + 200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), startsOf(owner, 2));
        owner.reportEnd("agent-2", owner.orderedStarts("agent-2").back(), RunOutcome::Done);
        owner.submit(3, bestEffort(3, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 3));
    }

    /// Guards against jobs that go on waiting for workers which were reserved for a gang that has been cancelled since, until something else happens.
    void cancelledGangLetsOthersStartAtOnce()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, 20'000));
        submitAndCommit(owner, gang(submission(2, 2, 100, 15'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        submitAndCommit(owner, submission(3, 1, 120'000, 3000));
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 3));
        owner.feed(CallArrived{9, CancelCall{2}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 3));
    }

    /// Guards against idle capacity that is kept for a gang while short tasks would be over long before the gang can start.
    void shortWorkRunsWhileAGangWaitsForLongRuns()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, 20'000));
        submitAndCommit(owner, gang(submission(2, 2, 100, 15'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        owner.submit(3, bestEffort(3, 12));
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), startsOf(owner, 3));
    }

    /// Guards against capacity that stays idle although the gang doesn't need it.
    void longWorkRunsBesideTheRoomOfAGang()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, 20'000));
        submitAndCommit(owner, gang(submission(2, 2, 100, 15'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        submitAndCommit(owner, submission(3, 5, 120'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 3));
    }

    /// Guards against a gang that waits longer because of work that starts after it.
    void longWorkDoesNotDelayAGang()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, 20'000));
        submitAndCommit(owner, gang(submission(2, 2, 100, 15'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        submitAndCommit(owner, submission(3, 1, 120'000, 3000));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 3));
    }

    /// Guards against work that is kept out for as long as a run takes that should have ended long ago.
    void runsThatTakeLongerKeepOthersOutForAShortTime()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 100, 20'000));
        submitAndCommit(owner, gang(submission(2, 2, 100, 15'000)));
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        submitAndCommit(owner, submission(3, 1, 100, 3000));
        owner.advanceTimeWithReports(reservationHold);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 2));
    }

    /// Guards against a gang that never starts because there is always a task which takes longer than estimated.
    void gangStartsBesideWorkThatAlwaysTakesLonger()
    {
        constexpr std::uint32_t estimateMs = 100;
        constexpr auto runTime = 300ms;
        constexpr auto pause = 50ms;
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 4000);
        JobId next = 100;
        std::size_t ended = 0;
        for (Base::Duration passed{}; passed < starvationTimeout + 2 * reservationCycle && startsOf(owner, 2) == 0; passed += pause) {
            owner.submit(next, bestEffort(next, 1, estimateMs));
            ++next;
            if (passed == pause * 6) {
                owner.submit(2, gang(submission(2, 4)));
            }
            owner.advanceTimeWithReports(pause);
            owner.commit();
            const std::vector<RunRef> starts = owner.orderedStarts("agent-1");
            while (ended < starts.size() && owner.state.now - owner.state.agents.at(0).runs.at(starts.at(ended)).since >= runTime) {
                owner.reportEnd("agent-1", starts.at(ended), RunOutcome::Done, estimateMs);
                ++ended;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), startsOf(owner, 2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestReservations);
