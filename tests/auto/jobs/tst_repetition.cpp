#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

/// Wall clock of the harness at its start, Unix time in milliseconds.
constexpr std::int64_t harnessStartMs = 1'100'000;

SubmitCall repeatedSubmission(JobId id, std::uint32_t count, std::int64_t firstMs, std::uint32_t intervalMs)
{
    SubmitCall call = submission(id, 1);
    call.spec.repetition = {count, firstMs, intervalMs};
    return call;
}

/// Advances the time and returns the number of all starts ordered so far.
std::size_t startCountAfter(OwnerHarness &owner, Base::Duration time)
{
    owner.advanceTimeWithReports(time);
    return owner.orderedStartCount();
}

} // namespace

class TestRepetition : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRepetition);
    CPPUNIT_TEST(startsWhenDue);
    CPPUNIT_TEST(wakesUpForTheNextOccurrence);
    CPPUNIT_TEST(occurrencesOverlap);
    CPPUNIT_TEST(stepsWaitWithinTheirOccurrence);
    CPPUNIT_TEST(completedAfterTheLast);
    CPPUNIT_TEST(cancellingEndsTheRest);
    CPPUNIT_TEST(clockThatJumpsBackRepeatsNothing);
    CPPUNIT_TEST(nextOwnerGoesOn);
    CPPUNIT_TEST(nextOwnerKnowsEarlierStarts);
    CPPUNIT_TEST(laterOccurrencesAreInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against tasks that start before their time or miss it.
    void startsWhenDue()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, repeatedSubmission(7, 2, harnessStartMs + 500, 1000));
        owner.commit();
        CPPUNIT_ASSERT(owner.answerTo(1).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startCountAfter(owner, 450ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startCountAfter(owner, 100ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startCountAfter(owner, 1s));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), owner.orderedStarts("agent-1").at(1).task.occurrence);
    }

    /// Guards against an occurrence that starts only with the next event because no timer is set for it.
    void wakesUpForTheNextOccurrence()
    {
        OwnerHarness owner({});
        owner.submit(1, repeatedSubmission(7, 1, harnessStartMs + 500, 0));
        owner.commit();
        const auto due = nextDue(owner.state);
        CPPUNIT_ASSERT(due && *due <= owner.state.now + 500ms);
    }

    /// Guards against an occurrence that waits for the end of the one before it.
    void occurrencesOverlap()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, repeatedSubmission(7, 3, harnessStartMs, 100));
        owner.commit();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), startCountAfter(owner, 300ms));
    }

    /// Guards against a step that starts because the step it depends on is done in another occurrence.
    void stepsWaitWithinTheirOccurrence()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        SubmitCall call = repeatedSubmission(7, 2, harnessStartMs, 0);
        call.spec.steps.push_back(call.spec.steps.front());
        call.spec.steps.back().after = {0};
        owner.submit(1, call);
        owner.commit();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startCountAfter(owner, 50ms));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(1), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.orderedStartCount());
        const TaskRef third = owner.orderedStarts("agent-1").at(2).task;
        CPPUNIT_ASSERT(third == (TaskRef{7, 1, 0, owner.orderedStarts("agent-1").at(1).task.occurrence}));
    }

    /// Guards against a job that is reported as completed while occurrences are still to come.
    void completedAfterTheLast()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, repeatedSubmission(7, 2, harnessStartMs, 1000));
        owner.commit();
        owner.advanceTimeWithReports(50ms);
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.commitAll();
        CPPUNIT_ASSERT(owner.state.jobs.contains(7));
        owner.advanceTimeWithReports(100ms);
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(1), RunOutcome::Done);
        owner.commitAll();
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Completed);
        CPPUNIT_ASSERT(owner.state.occurrences.empty());
    }

    /// Guards against an occurrence that starts after its job was cancelled.
    void cancellingEndsTheRest()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, repeatedSubmission(7, 5, harnessStartMs + 1000, 100));
        owner.commit();
        owner.feed(CallArrived{2, CancelCall{7}});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startCountAfter(owner, 2s));
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Cancelled);
    }

    /// Guards against a second run of an occurrence when the wall clock jumps back.
    void clockThatJumpsBackRepeatsNothing()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, repeatedSubmission(7, 2, harnessStartMs, 1000));
        owner.commit();
        owner.advanceTimeWithReports(50ms);
        owner.feed(TimePassed{owner.state.now + 1ms, Base::WallTime(harnessStartMs - 5000)});
        owner.feed(TimePassed{owner.state.now + 1ms, Base::WallTime(harnessStartMs + 100)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against occurrences that are lost or run again when the owner changes between them.
    void nextOwnerGoesOn()
    {
        const SubmitCall call = repeatedSubmission(7, 3, harnessStartMs - 1000, 1100);
        OwnerHarness owner({"agent-1"}, 2, {{7, call.rules, call.spec, {1}, {0}, {}}});
        owner.join("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startCountAfter(owner, 50ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startCountAfter(owner, 100ms));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), owner.orderedStarts("agent-1").at(0).task.occurrence);
    }

    /// Guards against a second run of an occurrence that the former owner started early because its wall clock was ahead.
    void nextOwnerKnowsEarlierStarts()
    {
        const SubmitCall call = repeatedSubmission(7, 2, harnessStartMs + 1000, 2000);
        OwnerHarness owner({"agent-1"}, 2, {{7, call.rules, call.spec, {}, {}, {}}});
        owner.join("agent-1", 8000, {}, {{1, {{7, 0, 0}, 1}, RunOutcome::Done, 100}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startCountAfter(owner, 1500ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startCountAfter(owner, 1600ms));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), owner.orderedStarts("agent-1").at(0).task.occurrence);
    }

    /// Guards against occurrences that are placed after all other jobs because their lateness is counted from the submission of
    /// their job.
    void laterOccurrencesAreInTime()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 1000);
        owner.submit(1, repeatedSubmission(7, 2, harnessStartMs, 3000));
        owner.commit();
        owner.advanceTimeWithReports(50ms);
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.advanceTimeWithReports(2800ms);
        owner.submit(2, bestEffort(8, 1, 500));
        owner.advanceTimeWithReports(250ms);
        owner.submit(3, bestEffort(9, 1, 500));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(1), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(JobId(7), owner.orderedStarts("agent-1").at(2).task.job);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRepetition);
