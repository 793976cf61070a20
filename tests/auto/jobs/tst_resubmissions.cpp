#include "jobs/admission.h"
#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

/// Submits copies of the prototype with the ids first to last. Each call has the id of its job.
void submitMany(OwnerHarness &owner, JobId first, JobId last, SubmitCall prototype)
{
    for (JobId job = first; job <= last; ++job) {
        prototype.job = job;
        owner.submit(job, prototype);
    }
}

/// Returns whether none of the calls 1 to last has been answered.
bool noneAnswered(const OwnerHarness &owner, CallId last)
{
    for (CallId call = 1; call <= last; ++call) {
        if (owner.answerTo(call)) {
            return false;
        }
    }
    return true;
}

} // namespace

/// Jobs that their callers submit again or give up, and jobs that must not be refused.
class TestResubmissions : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestResubmissions);
    CPPUNIT_TEST(refusedJobsNeverRun);
    CPPUNIT_TEST(startedJobsAreNotRefused);
    CPPUNIT_TEST(jobsOfLostOwnersAreNotRefused);
    CPPUNIT_TEST(jobsWithEndsOfLostOwnersAreNotRefused);
    CPPUNIT_TEST(nothingIsRefusedRightAfterATakeover);
    CPPUNIT_TEST(lateResubmissionsAreNotRefused);
    CPPUNIT_TEST(answersAreKeptForLateResubmissions);
    CPPUNIT_TEST(resubmissionsHaveTheirOwnTimeout);
    CPPUNIT_TEST(resubmissionsAfterTheTimeoutRunAgain);
    CPPUNIT_TEST(abandonedJobsAreRemoved);
    CPPUNIT_TEST(storedJobsAreNotDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Load: more than the capacity. Guards against refusing a job that has run or runs later, and against callers that get the refusal only when their
    /// timeout has ended.
    void refusedJobsNeverRun()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 1000);
        constexpr JobId jobs = 12;
        submitMany(owner, 1, jobs, bestEffort(1, 1, 100));
        owner.feed(CallArrived{100, CancelCall{jobs}});
        owner.feed(CallArrived{101, QueryCall{2}});
        owner.advanceTimeWithReports(100ms);
        // A cancellation is answered once it is recorded.
        CPPUNIT_ASSERT(owner.commit());
        CPPUNIT_ASSERT(owner.answerTo(100).has_value());
        CPPUNIT_ASSERT(owner.answerTo(101).has_value());
        std::vector<JobId> refused;
        for (JobId job = 1; job <= jobs; ++job) {
            if (const auto answer = owner.answerTo(job)) {
                CPPUNIT_ASSERT(answer->kind == CallAnswer::Kind::Overloaded);
                CPPUNIT_ASSERT(answer->retryAfterS > 0);
                refused.push_back(job);
            }
        }
        CPPUNIT_ASSERT(refused.size() > jobs / 2);
        for (std::size_t ended = 0; ended < owner.orderedStartCount(); ++ended) {
            const RunRef run = owner.orderedStarts("agent-1").at(ended);
            CPPUNIT_ASSERT(std::find(refused.begin(), refused.end(), run.task.job) == refused.end());
            owner.reportEnd("agent-1", run, RunOutcome::Done);
        }
        CPPUNIT_ASSERT(owner.state.jobs.empty() && owner.state.ready.empty() && owner.state.timelinessChanges.empty());
    }

    /// Load: a job of which one task has run waits behind long work. Guards against a refusal, which tells the caller that nothing has run.
    void startedJobsAreNotRefused()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 1000);
        owner.submit(1, bestEffort(2, 2, 100));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Failed);
        owner.submit(2, bestEffort(1, 1, 20'000));
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT(!owner.answerTo(1));
        CPPUNIT_ASSERT(owner.state.jobs.contains(2));
    }

    /// Load: jobs that were relayed to a lost owner are submitted again during an overload. Guards against refusing what that owner had started.
    void jobsOfLostOwnersAreNotRefused()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 1000);
        constexpr JobId jobs = 60;
        SubmitCall call = bestEffort(1, 1, 100);
        call.mayHaveRun = true;
        submitMany(owner, 1, jobs, call);
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT(noneAnswered(owner, jobs));
    }

    /// Load: jobs of a lost owner are submitted again during an overload. Guards against refusing a job that has run, which only the ends reported by the
    /// agents show.
    void jobsWithEndsOfLostOwnersAreNotRefused()
    {
        OwnerHarness owner({"agent-1"}, 2);
        constexpr JobId jobs = 12;
        std::vector<RunEnd> ends;
        owner.advanceTime(defaultCallerTimeout + defaultResubmitDelayMax);
        for (JobId job = 1; job <= jobs; ++job) {
            owner.submit(job, bestEffort(job, 2, 100));
            ends.push_back({job, {{job, 0, 0}, 1}, job % 2 == 0 ? RunOutcome::Done : RunOutcome::Failed, 100});
        }
        owner.join("agent-1", 1000, {}, std::move(ends));
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT(noneAnswered(owner, jobs));
    }

    /// Load: after a power failure of all VMs, callers resubmit the jobs that were not answered. Guards against refusing best-effort jobs that had run
    /// before the outage, of which no record is left, and against an owner that never refuses again.
    void nothingIsRefusedRightAfterATakeover()
    {
        OwnerHarness owner({"agent-1"}, 2);
        owner.join("agent-1", 1000);
        constexpr JobId jobs = 60;
        submitMany(owner, 1, jobs, bestEffort(1, 1, 100));
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT(noneAnswered(owner, jobs));
        owner.advanceTimeWithReports(defaultCallerTimeout + defaultResubmitDelayMax);
        submitMany(owner, jobs + 1, 2 * jobs, bestEffort(1, 1, 100));
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT(owner.answerTo(2 * jobs).has_value());
        CPPUNIT_ASSERT(owner.answerTo(2 * jobs)->kind == CallAnswer::Kind::Overloaded);
    }

    /// Load: callers with a long timeout resubmit to a new owner during an overload. Guards against refusing a job that ran under the lost owner and is
    /// resubmitted only when its caller's timeout has ended.
    void lateResubmissionsAreNotRefused()
    {
        OwnerHarness owner({"agent-1"}, 2);
        owner.join("agent-1", 1000);
        constexpr std::uint32_t callerTimeoutMs = 6000;
        owner.advanceTimeWithReports(std::chrono::milliseconds(callerTimeoutMs));
        constexpr JobId jobs = 60;
        SubmitCall call = bestEffort(1, 1, 100);
        call.callerTimeoutMs = callerTimeoutMs;
        submitMany(owner, 1, jobs, call);
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT(noneAnswered(owner, jobs));
    }

    /// Load: a caller with a long timeout resubmits to the same owner. Guards against running or refusing a job again whose answer was lost.
    void answersAreKeptForLateResubmissions()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 1000);
        SubmitCall call = bestEffort(1, 1, 100);
        call.callerTimeoutMs = 6000;
        owner.submit(1, call);
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT(owner.answerTo(1).has_value());
        owner.advanceTimeWithReports(7s);
        owner.submit(2, call);
        CPPUNIT_ASSERT(owner.answerTo(2).has_value());
        CPPUNIT_ASSERT(owner.answerTo(2)->kind == CallAnswer::Kind::State);
        CPPUNIT_ASSERT(owner.answerTo(2)->state == JobState::Completed);
    }

    /// Load: a job waits so long that its caller resubmits it. Guards against dropping the job when the first call's timeout ends although the second call
    /// still waits.
    void resubmissionsHaveTheirOwnTimeout()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 1000);
        SubmitCall call = bestEffort(1, 1, 100);
        call.callerTimeoutMs = 1500;
        owner.submit(1, call);
        owner.advanceTimeWithReports(1s);
        owner.submit(2, call);
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT(!owner.answerTo(2));
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        CPPUNIT_ASSERT(owner.answerTo(2).has_value());
        CPPUNIT_ASSERT(owner.answerTo(2)->state == JobState::Completed);
    }

    /// Load: as before, but the first call's timeout ends before the resubmission. Guards against answering "cancelled" for a job that nobody has
    /// cancelled, and against refusing a job that has run.
    void resubmissionsAfterTheTimeoutRunAgain()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 1000);
        SubmitCall call = bestEffort(1, 1, 100);
        call.callerTimeoutMs = 1500;
        owner.submit(1, call);
        owner.advanceTimeWithReports(1600ms);
        CPPUNIT_ASSERT(!owner.answerTo(1) || owner.answerTo(1)->kind == CallAnswer::Kind::OutcomeUnknown);
        owner.confirmStops();
        owner.advanceTimeWithReports(1s);
        for (JobId job = 2; job <= 60; ++job) {
            owner.submit(job + 100, bestEffort(job, 1, 100));
        }
        owner.submit(2, call);
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT(!owner.answerTo(2));
        CPPUNIT_ASSERT(owner.state.jobs.at(1).mayHaveRun);
    }

    /// Load: callers leave for good. Guards against memory and counts that grow with every abandoned job.
    void abandonedJobsAreRemoved()
    {
        for (const std::uint64_t epoch : {1U, 2U}) {
            OwnerHarness owner({"agent-1"}, epoch);
            for (JobId job = 1; job <= 20; ++job) {
                SubmitCall call = bestEffort(job, 2, 100);
                call.callerTimeoutMs = 300;
                owner.submit(job, call);
            }
            owner.join("agent-1", 4000);
            owner.advanceTimeWithReports(400ms);
            owner.confirmStops();
            owner.advanceTimeWithReports(defaultCallerTimeout + defaultResubmitDelayMax + 100ms);
            CPPUNIT_ASSERT(owner.state.jobs.empty() && owner.state.ready.empty() && owner.state.expiring.empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.state.tasksInDoubt);
            CPPUNIT_ASSERT_EQUAL(0U, owner.state.unstarted["queue"]);
        }
    }

    /// Load: a stored job behind a stream of others that can be in time. Guards against an accepted job that is dropped, or waits for as long as the stream
    /// lasts.
    void storedJobsAreNotDropped()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 1000);
        owner.submit(1, submission(1, 1, 100));
        owner.submit(2, bestEffort(2, 1, 100));
        owner.commit();
        JobId next = 3;
        const auto started = [&owner](JobId job) {
            const std::vector<RunRef> runs = owner.orderedStarts("agent-1");
            return std::any_of(runs.begin(), runs.end(), [job](const RunRef &run) { return run.task.job == job; });
        };
        const Base::MonoTime limit = owner.state.now + starvationTimeout + 1s;
        while (owner.state.now < limit && !started(1)) {
            owner.submit(next, bestEffort(next, 1, 50));
            ++next;
            owner.advanceTimeWithReports(50ms);
            owner.reportEnd("agent-1", owner.orderedStarts("agent-1").back(), RunOutcome::Done, 50);
        }
        CPPUNIT_ASSERT(started(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestResubmissions);
