#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

SubmitCall longRunning(JobId id, std::uint32_t tasks, std::uint32_t cpuMilli = 1000)
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
    CPPUNIT_TEST(pausesBetweenQuickEnds);
    CPPUNIT_TEST(soundRunsEndThePauses);
    CPPUNIT_TEST(endsOnlyByCancelling);
    CPPUNIT_TEST(queryIsAnsweredAtOnce);
    CPPUNIT_TEST(comesBeforeWorkThatCanWait);
    CPPUNIT_TEST(takesTheRoomOfOtherWork);
    CPPUNIT_TEST(waitsBeforeItTakesRoomAgain);
    CPPUNIT_TEST(savedWorkIsStoppedFirst);
    CPPUNIT_TEST(refusedWithoutRoomForAll);
    CPPUNIT_TEST(runsOnUnderTheNextOwner);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a service of a caller that stays down after its task has ended.
    void startsAgainHoweverItEnds()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1");
        owner.join("agent-2");
        owner.submit(1, longRunning(7, 1));
        owner.settle();
        std::size_t starts = 1;
        for (const RunOutcome outcome : {RunOutcome::Done, RunOutcome::Failed, RunOutcome::Lapsed, RunOutcome::Stopped}) {
            const std::vector<RunRef> first = owner.startsAt("agent-1");
            const std::vector<RunRef> second = owner.startsAt("agent-2");
            CPPUNIT_ASSERT_EQUAL(starts, first.size() + second.size());
            const bool onFirst = !first.empty() && (second.empty() || first.back().run > second.back().run);
            owner.end(onFirst ? "agent-1" : "agent-2", onFirst ? first.back() : second.back(), outcome);
            ++starts;
            CPPUNIT_ASSERT_EQUAL(starts, owner.allStarts());
        }
    }

    /// Guards against a job that is given up although its tasks may fail at any time.
    void ownFailuresDoNotEndTheJob()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, longRunning(7, 1));
        owner.settle();
        for (int i = 0; i < 10; ++i) {
            owner.end("agent-1", owner.startsAt("agent-1").back(), RunOutcome::Failed);
            owner.passWithReports(longRunningRestartDelayMax + 200ms);
        }
        CPPUNIT_ASSERT(owner.state.jobs.contains(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(11), owner.allStarts());
    }

    /// Guards against a worker that is kept busy with starts of a task that fails at once, and against a task that is given up.
    void pausesBetweenQuickEnds()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, longRunning(7, 1));
        owner.settle();
        constexpr auto time = 10s;
        std::size_t ended = 0;
        for (Base::Duration passed{}; passed < time; passed += 50ms) {
            if (owner.allStarts() > ended) {
                owner.end("agent-1", owner.startsAt("agent-1").back(), RunOutcome::Failed, 20);
                ++ended;
            }
            owner.passWithReports(50ms);
        }
        CPPUNIT_ASSERT(owner.allStarts() <= maxImmediateRestarts + 5 + time / longRunningRestartDelayMax);
        CPPUNIT_ASSERT(owner.allStarts() >= static_cast<std::size_t>(time / longRunningRestartDelayMax));
    }

    /// Guards against users who wait for a task that had run well, because of failures of long ago.
    void soundRunsEndThePauses()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, longRunning(7, 1));
        owner.settle();
        for (std::uint32_t i = 0; i <= maxImmediateRestarts; ++i) {
            owner.end("agent-1", owner.startsAt("agent-1").back(), RunOutcome::Failed, 20);
            owner.passWithReports(longRunningRestartDelayMax + 100ms);
        }
        const std::size_t starts = owner.allStarts();
        owner.passWithReports(longRunningHealthyRunTime);
        owner.end("agent-1", owner.startsAt("agent-1").back(), RunOutcome::Failed, 6000);
        CPPUNIT_ASSERT_EQUAL(starts + 1, owner.allStarts());
    }

    /// Guards against a task that runs on, or starts again, after its job was cancelled.
    void endsOnlyByCancelling()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, longRunning(7, 2));
        owner.settle();
        owner.feed(CallArrived{2, CancelCall{7}});
        owner.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.stopsAt("agent-1").size());
        owner.confirmStops();
        owner.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.allStarts());
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Cancelled);
    }

    /// Guards against queries that wait for an end which does not come.
    void queryIsAnsweredAtOnce()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, longRunning(7, 1));
        owner.settle();
        owner.feed(CallArrived{2, QueryCall{7}});
        CPPUNIT_ASSERT(owner.answerTo(2).has_value());
        CPPUNIT_ASSERT(owner.answerTo(2)->state == JobState::Running);
    }

    /// Guards against a lasting task that stays down while urgent short work takes all the room that becomes free.
    void comesBeforeWorkThatCanWait()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        owner.submit(1, bestEffort(5, 1, 100, 2000));
        owner.submit(2, bestEffort(6, 1, 100, 2000));
        owner.submit(3, longRunning(7, 1));
        owner.commit();
        owner.end("agent-1", owner.startsAt("agent-1").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(JobId(7), owner.startsAt("agent-1").at(1).task.job);
    }

    /// Guards against a lasting task that stays down because long work fills all workers.
    void takesTheRoomOfOtherWork()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        owner.submit(1, bestEffort(5, 2, 60'000));
        owner.submit(2, longRunning(7, 1));
        owner.commit();
        owner.passWithReports(preemptionDelay - 100ms);
        CPPUNIT_ASSERT(owner.stopsAt("agent-1").empty());
        owner.passWithReports(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.stopsAt("agent-1").size());
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(JobId(7), owner.startsAt("agent-1").back().task.job);
        CPPUNIT_ASSERT(!owner.answerTo(1).has_value());
    }

    /// Guards against work that is stopped at once each time a lasting task ends, as room often comes soon.
    void waitsBeforeItTakesRoomAgain()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        owner.submit(1, longRunning(7, 1));
        owner.settle();
        owner.feed(AgentReported{"agent-1", owner.report("agent-1")});
        owner.submit(2, bestEffort(5, 1, 60'000));
        AgentReport gone = owner.report("agent-1");
        owner.passWithReports(preemptionDelay + 100ms);
        owner.submit(3, bestEffort(6, 1, 60'000));
        owner.state.agents[0].used.cpuMilli += 1000;
        owner.end("agent-1", owner.startsAt("agent-1").at(0), RunOutcome::Failed);
        owner.passWithReports(preemptionDelay - 100ms);
        CPPUNIT_ASSERT(owner.stopsAt("agent-1").empty());
        owner.passWithReports(200ms);
        CPPUNIT_ASSERT(!owner.stopsAt("agent-1").empty());
    }

    /// Guards against work that is lost although other work beside it had been saved.
    void savedWorkIsStoppedFirst()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        SubmitCall saved = bestEffort(5, 1, 60'000);
        saved.spec.steps.front().checkpointing = true;
        owner.submit(1, saved);
        owner.submit(2, bestEffort(6, 1, 60'000));
        owner.submit(3, longRunning(7, 1));
        owner.commit();
        owner.passWithReports(preemptionDelay + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.stopsAt("agent-1").size());
        CPPUNIT_ASSERT_EQUAL(JobId(5), owner.stopsAt("agent-1").at(0).task.job);
    }

    /// Guards against an accepted job of which some task can never run, as lasting tasks do not end.
    void refusedWithoutRoomForAll()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 10'000);
        owner.submit(1, longRunning(7, 5));
        owner.submit(2, longRunning(8, 5));
        CPPUNIT_ASSERT(owner.answerTo(2).has_value());
        CPPUNIT_ASSERT(owner.answerTo(2)->kind == CallAnswer::Kind::Overloaded);
        CPPUNIT_ASSERT(owner.answerTo(2)->retryAfterS > 0);
        owner.submit(3, longRunning(9, 4));
        owner.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), owner.allStarts());
    }

    /// Guards against an interruption of lasting tasks by a change of the owner.
    void runsOnUnderTheNextOwner()
    {
        const SubmitCall call = longRunning(7, 1);
        OwnerHarness owner({"agent-1"}, 2, {{7, call.rules, call.spec, {0}, {0}, {}}});
        owner.join("agent-1", 8000, {{{{7, 0, 0}, 1}, {1000, 64, 0}}});
        owner.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.allStarts());
        CPPUNIT_ASSERT(owner.stopsAt("agent-1").empty());
        owner.end("agent-1", {{7, 0, 0}, 1}, RunOutcome::Lapsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.allStarts());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLasting);
