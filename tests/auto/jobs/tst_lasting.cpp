#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

SubmitCall longRunningSubmission(JobId id, std::uint32_t tasks, std::uint32_t cpuMilli = 1000)
{
    SubmitCall call = submission(id, tasks, 100, cpuMilli);
    call.rules.priority = 2;
    call.spec.steps.front().longRunning = true;
    return call;
}

} // namespace

class TestLasting : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLasting);
    CPPUNIT_TEST(startsAgainHoweverItEnds);
    CPPUNIT_TEST(ownFailuresDoNotEndTheJob);
    CPPUNIT_TEST(delaysRestartsAfterQuickEnds);
    CPPUNIT_TEST(healthyRunsResetTheRestartDelay);
    CPPUNIT_TEST(endsOnlyByCancelling);
    CPPUNIT_TEST(queryIsAnsweredAtOnce);
    CPPUNIT_TEST(comesBeforeWorkThatCanWait);
    CPPUNIT_TEST(preemptsOtherWork);
    CPPUNIT_TEST(waitsBeforeItPreemptsAgain);
    CPPUNIT_TEST(checkpointedWorkIsPreemptedFirst);
    CPPUNIT_TEST(refusedWithoutRoomForAll);
    CPPUNIT_TEST(runsOnUnderTheNextOwner);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a long-running task that stays down after its run has ended, whatever the outcome.
    void startsAgainHoweverItEnds()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1");
        owner.join("agent-2");
        owner.submit(1, longRunningSubmission(7, 1));
        owner.commitAll();
        std::size_t starts = 1;
        for (const RunOutcome outcome : {RunOutcome::Done, RunOutcome::Failed, RunOutcome::Lapsed, RunOutcome::Stopped}) {
            const std::vector<RunRef> first = owner.orderedStarts("agent-1");
            const std::vector<RunRef> second = owner.orderedStarts("agent-2");
            CPPUNIT_ASSERT_EQUAL(starts, first.size() + second.size());
            const bool onFirst = !first.empty() && (second.empty() || first.back().run > second.back().run);
            owner.reportEnd(onFirst ? "agent-1" : "agent-2", onFirst ? first.back() : second.back(), outcome);
            ++starts;
            CPPUNIT_ASSERT_EQUAL(starts, owner.orderedStartCount());
        }
    }

    /// Guards against applying the maximum number of attempts to long-running tasks, which may fail at any time.
    void ownFailuresDoNotEndTheJob()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, longRunningSubmission(7, 1));
        owner.commitAll();
        for (int i = 0; i < 10; ++i) {
            owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Failed);
            owner.advanceTimeWithReports(longRunningRestartDelayMax + 200ms);
        }
        CPPUNIT_ASSERT(owner.state.jobs.contains(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(11), owner.orderedStartCount());
    }

    /// Guards against restarts without delay of a task that fails immediately, which keep its worker busy, and against no
    /// longer restarting it.
    void delaysRestartsAfterQuickEnds()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, longRunningSubmission(7, 1));
        owner.commitAll();
        constexpr auto time = 10s;
        std::size_t ended = 0;
        for (Base::Duration passed{}; passed < time; passed += 50ms) {
            if (owner.orderedStartCount() > ended) {
                owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Failed, 20);
                ++ended;
            }
            owner.advanceTimeWithReports(50ms);
        }
        CPPUNIT_ASSERT(owner.orderedStartCount() <= maxImmediateRestarts + 5 + time / longRunningRestartDelayMax);
        CPPUNIT_ASSERT(owner.orderedStartCount() >= static_cast<std::size_t>(time / longRunningRestartDelayMax));
    }

    /// Guards against a restart that is delayed because of failures which lie before a long healthy run.
    void healthyRunsResetTheRestartDelay()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, longRunningSubmission(7, 1));
        owner.commitAll();
        for (std::uint32_t i = 0; i <= maxImmediateRestarts; ++i) {
            owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Failed, 20);
            owner.advanceTimeWithReports(longRunningRestartDelayMax + 100ms);
        }
        const std::size_t starts = owner.orderedStartCount();
        owner.advanceTimeWithReports(longRunningHealthyRunTime);
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Failed, 6000);
        CPPUNIT_ASSERT_EQUAL(starts + 1, owner.orderedStartCount());
    }

    /// Guards against a task that runs on, or is restarted, after its job was cancelled.
    void endsOnlyByCancelling()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, longRunningSubmission(7, 2));
        owner.commitAll();
        owner.feed(CallArrived{2, CancelCall{7}});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStops("agent-1").size());
        owner.confirmStops();
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Cancelled);
    }

    /// Guards against holding a query until the end of a job that does not end.
    void queryIsAnsweredAtOnce()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, longRunningSubmission(7, 1));
        owner.commitAll();
        owner.feed(CallArrived{2, QueryCall{7}});
        CPPUNIT_ASSERT(owner.answerTo(2).has_value());
        CPPUNIT_ASSERT(owner.answerTo(2)->state == JobState::Running);
    }

    /// Guards against a long-running task that stays down while more urgent short tasks get all the capacity that becomes free.
    void comesBeforeWorkThatCanWait()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        owner.submit(1, bestEffort(5, 1, 100, 2000));
        owner.submit(2, bestEffort(6, 1, 100, 2000));
        owner.submit(3, longRunningSubmission(7, 1));
        owner.commit();
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(JobId(7), owner.orderedStarts("agent-1").at(1).task.job);
    }

    /// Guards against a long-running task that stays down because long tasks occupy all workers.
    void preemptsOtherWork()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        owner.submit(1, bestEffort(5, 2, 60'000));
        owner.submit(2, longRunningSubmission(7, 1));
        owner.commit();
        owner.advanceTimeWithReports(preemptionDelay - 100ms);
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
        owner.advanceTimeWithReports(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(JobId(7), owner.orderedStarts("agent-1").back().task.job);
        CPPUNIT_ASSERT(!owner.answerTo(1).has_value());
    }

    /// Guards against stopping other work at once each time a long-running task ends: capacity often becomes free soon.
    void waitsBeforeItPreemptsAgain()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        owner.submit(1, longRunningSubmission(7, 1));
        owner.commitAll();
        owner.feed(AgentReported{"agent-1", owner.report("agent-1")});
        owner.submit(2, bestEffort(5, 1, 60'000));
        AgentReport report = owner.report("agent-1");
        owner.advanceTimeWithReports(preemptionDelay + 100ms);
        owner.submit(3, bestEffort(6, 1, 60'000));
        owner.state.agents[0].used.cpuMilli += 1000;
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Failed);
        owner.advanceTimeWithReports(preemptionDelay - 100ms);
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
        owner.advanceTimeWithReports(200ms);
        CPPUNIT_ASSERT(!owner.orderedStops("agent-1").empty());
    }

    /// Guards against losing the work of a run without checkpoints when one with checkpoints could be stopped instead.
    void checkpointedWorkIsPreemptedFirst()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        SubmitCall saved = bestEffort(5, 1, 60'000);
        saved.spec.steps.front().checkpointing = true;
        owner.submit(1, saved);
        owner.submit(2, bestEffort(6, 1, 60'000));
        owner.submit(3, longRunningSubmission(7, 1));
        owner.commit();
        owner.advanceTimeWithReports(preemptionDelay + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
        CPPUNIT_ASSERT_EQUAL(JobId(5), owner.orderedStops("agent-1").at(0).task.job);
    }

    /// Guards against accepting a job of which some tasks can never run: long-running tasks free no capacity by ending.
    void refusedWithoutRoomForAll()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 10'000);
        owner.submit(1, longRunningSubmission(7, 5));
        owner.submit(2, longRunningSubmission(8, 5));
        CPPUNIT_ASSERT(owner.answerTo(2).has_value());
        CPPUNIT_ASSERT(owner.answerTo(2)->kind == CallAnswer::Kind::Overloaded);
        CPPUNIT_ASSERT(owner.answerTo(2)->retryAfterS > 0);
        owner.submit(3, longRunningSubmission(9, 4));
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), owner.orderedStartCount());
    }

    /// Guards against stopping or restarting long-running tasks at a takeover.
    void runsOnUnderTheNextOwner()
    {
        const SubmitCall call = longRunningSubmission(7, 1);
        OwnerHarness owner({"agent-1"}, 2, {{7, call.rules, call.spec, {0}, {0}, {}}});
        owner.join("agent-1", 8000, {{{{7, 0, 0}, 1}, {1000, 64, 0}}});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
        owner.reportEnd("agent-1", {{7, 0, 0}, 1}, RunOutcome::Lapsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLasting);
