#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;
using Kind = CallAnswer::Kind;

namespace {

void checkAnswer(Kind expected, const std::optional<CallAnswer> &answer)
{
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(answer->kind));
}

void cancel(OwnerHarness &owner, CallId call, JobId job)
{
    owner.feed(CallArrived{call, CancelCall{job}});
}

} // namespace

class TestWithdrawnJobs : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWithdrawnJobs);
    CPPUNIT_TEST(acknowledgedOnceRecorded);
    CPPUNIT_TEST(submissionAfterItsCancellationNeverStarts);
    CPPUNIT_TEST(submissionRightAfterItsCancellationNeverStarts);
    CPPUNIT_TEST(successorKnowsCancelledJobs);
    CPPUNIT_TEST(formerOwnerAcknowledgesNothing);
    CPPUNIT_TEST(callersSeeNoJobThatWasNeverSubmitted);
    CPPUNIT_TEST(cancelledBestEffortJobIsRecorded);
    CPPUNIT_TEST(successorRunsNoCancelledBestEffortJob);
    CPPUNIT_TEST(formerOwnerAcknowledgesNoBestEffortJob);
    CPPUNIT_TEST(refusedAtOnceWhileTheStoreIsStalled);
    CPPUNIT_TEST(submissionIsRefusedAtOnceWhileTheStoreIsStalled);
    CPPUNIT_TEST(numberIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a cancellation that is acknowledged although a successor wouldn't know it.
    void acknowledgedOnceRecorded()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        cancel(owner, 1, 7);
        CPPUNIT_ASSERT(!owner.answerTo(1));
        owner.commit();
        checkAnswer(Kind::NotFound, owner.answerTo(1));
        cancel(owner, 2, 7);
        checkAnswer(Kind::NotFound, owner.answerTo(2));
    }

    /// Guards against a job that runs although its cancelling was acknowledged, because its submission was on its way for longer.
    void submissionAfterItsCancellationNeverStarts()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        cancel(owner, 1, 7);
        owner.commit();
        owner.submit(2, submission(7, 4));
        CPPUNIT_ASSERT(!owner.answerTo(2));
        owner.commitAll();
        checkAnswer(Kind::Accepted, owner.answerTo(2));
        owner.feed(CallArrived{3, QueryCall{7}});
        checkAnswer(Kind::State, owner.answerTo(3));
        CPPUNIT_ASSERT(owner.answerTo(3)->state == JobState::Cancelled);
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
    }

    /// Guards against a job that is accepted and starts between its cancelling and the record of that.
    void submissionRightAfterItsCancellationNeverStarts()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        cancel(owner, 1, 7);
        owner.submit(2, submission(7, 4));
        owner.submit(3, bestEffort(7, 4));
        owner.commitAll();
        checkAnswer(Kind::NotFound, owner.answerTo(1));
        checkAnswer(Kind::Accepted, owner.answerTo(2));
        checkAnswer(Kind::State, owner.answerTo(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
    }

    /// Guards against a change of owner between the cancelling of a job and its submission, after which it runs.
    void successorKnowsCancelledJobs()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        cancel(owner, 1, 7);
        owner.commitAll();
        OwnerHarness successor = OwnerHarness::successorOf(owner);
        successor.join("agent-1");
        successor.submit(2, submission(7, 4));
        successor.commitAll();
        checkAnswer(Kind::Accepted, successor.answerTo(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), successor.orderedStartCount());

        OwnerHarness third = OwnerHarness::successorOf(successor);
        third.feed(CallArrived{3, QueryCall{7}});
        checkAnswer(Kind::State, third.answerTo(3));
        CPPUNIT_ASSERT(third.answerTo(3)->state == JobState::Cancelled);
    }

    /// Guards against an entry that was suspended, doesn't know the jobs that its successor has accepted, and acknowledges their cancelling.
    void formerOwnerAcknowledgesNothing()
    {
        OwnerHarness owner({"agent-1"});
        cancel(owner, 1, 7);
        owner.feed(CommitEnded{CommitConflict{OwnerRecord{2, 0, "entry-2", 1, {}}, 200}});
        CPPUNIT_ASSERT(owner.steppedDown.has_value());
        CPPUNIT_ASSERT(!owner.answerTo(1));
    }

    /// Guards against callers that are shown a job which nobody submitted.
    void callersSeeNoJobThatWasNeverSubmitted()
    {
        OwnerHarness owner({"agent-1"});
        cancel(owner, 1, 7);
        owner.commitAll();
        owner.feed(CallArrived{2, QueryCall{7}});
        checkAnswer(Kind::NotFound, owner.answerTo(2));
        owner.feed(CallArrived{3, CountCall{"queue"}});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), owner.answerTo(3)->count);
    }

    /// Guards against the cancelling of a best-effort job that is acknowledged before it is recorded, and against runs that go on until it is.
    void cancelledBestEffortJobIsRecorded()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        cancel(owner, 2, 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
        CPPUNIT_ASSERT(owner.answerTo(1)->state == JobState::Cancelled);
        CPPUNIT_ASSERT(!owner.answerTo(2));
        owner.commit();
        checkAnswer(Kind::Accepted, owner.answerTo(2));
    }

    /// Guards against a best-effort job that runs again under a successor, to which an entry forwards the call that it still has.
    void successorRunsNoCancelledBestEffortJob()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        cancel(owner, 2, 7);
        owner.commitAll();
        OwnerHarness successor = OwnerHarness::successorOf(owner);
        successor.join("agent-1");
        successor.submit(3, bestEffort(7, 1));
        successor.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT(successor.answerTo(3)->state == JobState::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), successor.orderedStartCount());
    }

    /// Guards against an entry that was suspended and acknowledges the cancelling of a best-effort job that its successor has adopted.
    void formerOwnerAcknowledgesNoBestEffortJob()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        cancel(owner, 2, 7);
        owner.feed(CommitEnded{CommitConflict{OwnerRecord{2, 0, "entry-2", 1, {}}, 200}});
        CPPUNIT_ASSERT(owner.steppedDown.has_value());
        CPPUNIT_ASSERT(!owner.answerTo(2));
    }

    /// Guards against callers that wait until their timeout although the cancellation can't be recorded.
    void refusedAtOnceWhileTheStoreIsStalled()
    {
        OwnerHarness owner({"agent-1"});
        owner.submit(1, submission(8, 1));
        owner.advanceTime(commitStallTimeout + 10ms);
        cancel(owner, 2, 7);
        checkAnswer(Kind::Unavailable, owner.answerTo(2));
        CPPUNIT_ASSERT(owner.answerTo(2)->retryAfterS > 0);
    }

    /// Guards against submissions of cancelled jobs that wait, and fill the queue of changes, although they can't be recorded.
    void submissionIsRefusedAtOnceWhileTheStoreIsStalled()
    {
        OwnerHarness owner({"agent-1"});
        cancel(owner, 1, 7);
        owner.advanceTime(commitStallTimeout + 10ms);
        owner.submit(2, submission(7, 1));
        checkAnswer(Kind::Unavailable, owner.answerTo(2));
    }

    /// Guards against cancellations of unknown jobs that fill the memory, and against a bound that holds for ever.
    void numberIsBounded()
    {
        OwnerHarness owner({"agent-1"});
        owner.timePerEvent = Base::Duration(1);
        CallId call = 0;
        for (JobId job = 1; job <= maxWithdrawnJobs; ++job) {
            cancel(owner, ++call, job);
            if (job % maxChangesPerCommit == 0) {
                owner.advanceTime(commitInterval);
                owner.commit();
            }
        }
        owner.commitAll();
        checkAnswer(Kind::NotFound, owner.answerTo(call));
        cancel(owner, ++call, maxWithdrawnJobs + 1);
        checkAnswer(Kind::Unavailable, owner.answerTo(call));
        // Those that are recorded are acknowledged as before.
        cancel(owner, ++call, 1);
        checkAnswer(Kind::NotFound, owner.answerTo(call));

        owner.advanceTime(defaultFinalStateRetention + 1s);
        cancel(owner, ++call, maxWithdrawnJobs + 1);
        owner.commitAll();
        checkAnswer(Kind::NotFound, owner.answerTo(call));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.state.withdrawnJobs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestWithdrawnJobs);
