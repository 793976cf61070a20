#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

constexpr JobId repeatedJob = 7;
constexpr std::int64_t longAgoMs = 1000; ///< The wall clock of the harness starts at 1,100,000.
constexpr std::uint32_t milliCoresPerTask = 10;
constexpr std::uint32_t parallelTasks = 600; ///< Room of the worker

SubmitCall overdueJob(std::uint32_t occurrences)
{
    SubmitCall call = submission(repeatedJob, 1, 50, milliCoresPerTask);
    call.spec.steps.front().need.memoryMb = 1;
    call.spec.repetition = {occurrences, longAgoMs, 0};
    return call;
}

std::size_t countDecisions(const OwnerHarness &owner, const std::string &event)
{
    return static_cast<std::size_t>(
        std::count_if(owner.decisions.begin(), owner.decisions.end(), [&event](const Decision &decision) { return decision.event == event; }));
}

/// Reports ends of runs and counts the starts of each occurrence.
class Worker
{
public:
    /// Reports that all runs that were ordered since the last call are done, but for those of \a slowOccurrence.
    void endRuns(OwnerHarness &owner, std::optional<std::uint32_t> slowOccurrence = {})
    {
        const std::vector<RunRef> starts = owner.orderedStarts("agent-1");
        AgentReport ended = owner.report("agent-1");
        for (; seen_ < starts.size(); ++seen_) {
            ++startsOfOccurrence[starts[seen_].task.occurrence];
            if (starts[seen_].task.occurrence != slowOccurrence) {
                ended.ends.push_back({++lastEnd_, starts[seen_], RunOutcome::Done, 50, {}});
            }
        }
        owner.feed(AgentReported{"agent-1", std::move(ended)});
    }

    void endRun(OwnerHarness &owner, const RunRef &run)
    {
        AgentReport ended = owner.report("agent-1");
        ended.ends.push_back({++lastEnd_, run, RunOutcome::Done, 50, {}});
        owner.feed(AgentReported{"agent-1", std::move(ended)});
    }

    std::map<std::uint32_t, int> startsOfOccurrence;

private:
    std::size_t seen_ = 0;
    std::uint64_t lastEnd_ = 0;
};

void joinWorker(OwnerHarness &owner)
{
    owner.join("agent-1", parallelTasks * milliCoresPerTask);
}

bool startedOnceEach(const std::map<std::uint32_t, int> &starts, std::uint32_t occurrences)
{
    return starts.size() == occurrences && std::all_of(starts.begin(), starts.end(), [](const auto &entry) { return entry.second == 1; });
}

} // namespace

class TestOverdueOccurrences : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOverdueOccurrences);
    CPPUNIT_TEST(beginOverManyTurns);
    CPPUNIT_TEST(allRunOnce);
    CPPUNIT_TEST(successorRunsTheRest);
    CPPUNIT_TEST(successorBeginsOverManyTurns);
    CPPUNIT_TEST(reportedOccurrenceBeginsAlone);
    CPPUNIT_TEST(occurrenceThatBeganEarlyRunsOnce);
    CPPUNIT_TEST(slowOccurrenceDoesNotHoldUpOthers);
    CPPUNIT_TEST(failuresOfADoneOccurrenceAreForgotten);
    CPPUNIT_TEST(failuresCountForEachOccurrence);
    CPPUNIT_TEST(restoredOccurrencesThatAreDoneMakeRoom);
    CPPUNIT_TEST(lateEndOfAForgottenOccurrenceNeedsALapse);
    CPPUNIT_TEST(cancelledWhileSomeWait);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an owner that hangs because it begins all occurrences that are due in one turn.
    void beginOverManyTurns()
    {
        OwnerHarness owner({"agent-1"});
        joinWorker(owner);
        owner.submit(1, overdueJob(100'000));
        owner.commit();
        for (int turn = 0; turn < 50; ++turn) {
            owner.decisions.clear();
            owner.advanceTime(1ms);
            CPPUNIT_ASSERT(countDecisions(owner, "job.occurrence") <= maxTasksBegunPerTurn);
            CPPUNIT_ASSERT(owner.state.jobs.at(repeatedJob).tasks.size() <= maxTasksOfRepeatedJob);
        }
        const auto due = nextDue(owner.state);
        CPPUNIT_ASSERT(due && *due > owner.state.now + 1ms);
    }

    /// Guards against occurrences that are left out or run twice when their job holds only some of them at a time, and against a record that grows with them.
    void allRunOnce()
    {
        constexpr std::uint32_t occurrences = 30'000;
        OwnerHarness owner({"agent-1"});
        joinWorker(owner);
        owner.submit(1, overdueJob(occurrences));
        owner.commit();
        Worker worker;
        std::size_t longestRecord = 0;
        for (int turn = 0; turn < 200 && owner.state.jobs.contains(repeatedJob); ++turn) {
            owner.commits.clear();
            worker.endRuns(owner);
            owner.advanceTime(50ms);
            owner.commit();
            for (const Commit &commit : owner.commits) {
                for (const Commit::Write &write : commit.writes) {
                    longestRecord = std::max(longestRecord, write.value.size());
                }
            }
        }
        CPPUNIT_ASSERT(owner.state.finished.contains(repeatedJob));
        CPPUNIT_ASSERT(owner.state.finished.at(repeatedJob) == JobState::Completed);
        CPPUNIT_ASSERT(startedOnceEach(worker.startsOfOccurrence, occurrences));
        CPPUNIT_ASSERT(longestRecord < 10 * maxTasksOfRepeatedJob);
    }

    /// Guards against a takeover after which occurrences that are done run again, or others never run, because the record holds only some of them.
    void successorRunsTheRest()
    {
        constexpr std::uint32_t occurrences = 9000;
        OwnerHarness owner({"agent-1"});
        joinWorker(owner);
        owner.submit(1, overdueJob(occurrences));
        owner.commit();
        Worker worker;
        for (int turn = 0; turn < 12; ++turn) {
            worker.endRuns(owner);
            owner.advanceTime(50ms);
            owner.commit();
        }
        // All ends are recorded; the starts of the last turn are still on their way to the agent, so they don't count.
        AgentReport idle = owner.report("agent-1");
        idle.ordersSeen = 0;
        owner.feed(AgentReported{"agent-1", idle});
        owner.commitAll();
        const std::map<std::uint32_t, int> former = worker.startsOfOccurrence;
        CPPUNIT_ASSERT(former.size() > maxTasksOfRepeatedJob && former.size() < occurrences);

        OwnerHarness successor = OwnerHarness::successorOf(owner);
        joinWorker(successor);
        Worker rest;
        for (int turn = 0; turn < 200 && successor.state.jobs.contains(repeatedJob); ++turn) {
            rest.endRuns(successor);
            successor.advanceTime(50ms);
            successor.commit();
        }
        CPPUNIT_ASSERT(successor.state.finished.contains(repeatedJob));
        std::map<std::uint32_t, int> starts = former;
        for (const auto &[occurrence, count] : rest.startsOfOccurrence) {
            starts[occurrence] += count;
        }
        CPPUNIT_ASSERT(startedOnceEach(starts, occurrences));
    }

    /// Guards against a successor that hangs like the owner before it, as the job is stored.
    void successorBeginsOverManyTurns()
    {
        const SubmitCall call = overdueJob(100'000);
        OwnerHarness owner({"agent-1"}, 2, {{repeatedJob, call.rules, call.spec, {}, {}, {}}});
        owner.feed(AgentLinked{"agent-1"});
        for (int turn = 0; turn < 50; ++turn) {
            owner.decisions.clear();
            owner.advanceTime(1ms);
            CPPUNIT_ASSERT(countDecisions(owner, "job.occurrence") <= maxTasksBegunPerTurn);
            CPPUNIT_ASSERT(owner.state.jobs.at(repeatedJob).tasks.size() <= maxTasksOfRepeatedJob);
        }
    }

    /// Guards against a turn that begins all occurrences up to one that an agent reports.
    void reportedOccurrenceBeginsAlone()
    {
        SubmitCall call = overdueJob(100'000);
        call.spec.repetition = {100'000, harnessStartMs + 60'000, 1000};
        OwnerHarness owner({"agent-1"}, 2, {{repeatedJob, call.rules, call.spec, {}, {}, {}}});
        owner.join("agent-1", 8000, {{{{repeatedJob, 0, 0, 90'000}, 1}, {milliCoresPerTask, 1, 0}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.state.jobs.at(repeatedJob).tasks.size());
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
    }

    /// Guards against a second run of an occurrence that a former owner began before earlier ones, and that is done before they begin.
    void occurrenceThatBeganEarlyRunsOnce()
    {
        constexpr std::uint32_t occurrences = 40;
        SubmitCall call = overdueJob(occurrences);
        call.spec.repetition = {occurrences, harnessStartMs + 1000, 100};
        OwnerHarness owner({"agent-1"}, 2, {{repeatedJob, call.rules, call.spec, {}, {}, {}}});
        owner.join("agent-1", 8000, {}, {{1, {{repeatedJob, 0, 0, 20}, 1}, RunOutcome::Done, 50}});
        std::map<std::uint32_t, int> starts{{20, 1}};
        std::size_t seen = 0;
        for (int turn = 0; turn < 200 && owner.state.jobs.contains(repeatedJob); ++turn) {
            owner.advanceTimeWithReports(50ms);
            owner.commit();
            const std::vector<RunRef> ordered = owner.orderedStarts("agent-1");
            for (; seen < ordered.size(); ++seen) {
                ++starts[ordered[seen].task.occurrence];
                owner.reportEnd("agent-1", ordered[seen], RunOutcome::Done);
            }
        }
        CPPUNIT_ASSERT(owner.state.finished.contains(repeatedJob));
        CPPUNIT_ASSERT(startedOnceEach(starts, occurrences));
    }

    /// Guards against occurrences that wait for one that takes very long, as those that are done before it keep their place in the job.
    void slowOccurrenceDoesNotHoldUpOthers()
    {
        OwnerHarness owner({"agent-1"});
        joinWorker(owner);
        owner.submit(1, overdueJob(12'000));
        owner.commit();
        owner.advanceTime(50ms);
        const RunRef slow = owner.orderedStarts("agent-1").front();
        Worker worker;
        for (int turn = 0; turn < 100; ++turn) {
            worker.endRuns(owner, slow.task.occurrence);
            owner.advanceTime(50ms);
            owner.commit();
        }
        CPPUNIT_ASSERT(startedOnceEach(worker.startsOfOccurrence, 12'000));
        worker.endRun(owner, slow);
        owner.commitAll();
        CPPUNIT_ASSERT(owner.state.finished.contains(repeatedJob));
    }

    /// Guards against a job that fails because the failures of a task count against the one that takes its place.
    void failuresOfADoneOccurrenceAreForgotten()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1");
        owner.join("agent-2");
        SubmitCall call = overdueJob(5);
        call.spec.repetition = {5, harnessStartMs, 2000};
        owner.submit(1, call);
        owner.commit();
        std::map<std::string, std::size_t> seen;
        std::map<std::uint32_t, int> failures;
        for (int turn = 0; turn < 300 && owner.state.jobs.contains(repeatedJob); ++turn) {
            owner.advanceTimeWithReports(50ms);
            owner.commit();
            for (const std::string agent : {"agent-1", "agent-2"}) {
                const std::vector<RunRef> starts = owner.orderedStarts(agent);
                for (std::size_t &next = seen[agent]; next < starts.size(); ++next) {
                    const bool fails = ++failures[starts[next].task.occurrence] < 3;
                    owner.reportEnd(agent, starts[next], fails ? RunOutcome::Failed : RunOutcome::Done);
                }
            }
        }
        CPPUNIT_ASSERT(owner.state.finished.contains(repeatedJob));
        CPPUNIT_ASSERT(owner.state.finished.at(repeatedJob) == JobState::Completed);
    }

    /// Guards against more attempts than the queue allows, because a failed run of an earlier occurrence at the same position had the same number.
    void failuresCountForEachOccurrence()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        SubmitCall call = overdueJob(2);
        call.spec.repetition = {2, harnessStartMs, 5000};
        owner.submit(1, call);
        owner.commit();
        std::size_t seen = 0;
        std::map<std::uint32_t, int> starts;
        for (int turn = 0; turn < 400 && owner.state.jobs.contains(repeatedJob); ++turn) {
            owner.advanceTimeWithReports(50ms);
            owner.commit();
            const std::vector<RunRef> ordered = owner.orderedStarts("agent-1");
            for (; seen < ordered.size(); ++seen) {
                const std::uint32_t occurrence = ordered[seen].task.occurrence;
                const bool isSecondRunOfFirst = ++starts[occurrence] == 2 && occurrence == 0;
                owner.reportEnd("agent-1", ordered[seen], isSecondRunOfFirst ? RunOutcome::Done : RunOutcome::Failed);
            }
        }
        CPPUNIT_ASSERT(owner.state.finished.at(repeatedJob) == JobState::Failed);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(call.rules.maxAttempts), starts[1]);
    }

    /// Guards against a job that stands still after a takeover, as the occurrences that were done before still take all its room.
    void restoredOccurrencesThatAreDoneMakeRoom()
    {
        const SubmitCall call = overdueJob(maxTasksOfRepeatedJob + 1);
        const std::vector<std::uint8_t> done(maxTasksOfRepeatedJob, 1);
        const std::vector<std::uint8_t> failures(maxTasksOfRepeatedJob, 0);
        OwnerHarness owner({"agent-1"}, 2, {{repeatedJob, call.rules, call.spec, done, failures, {}}});
        joinWorker(owner);
        owner.advanceTimeWithReports(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(maxTasksOfRepeatedJob), owner.orderedStarts("agent-1").front().task.occurrence);
    }

    /// Guards against an end that is acknowledged although its task has started again: an agent was cut off for longer than the owner waits, and lists an end of a
    /// former owner's run when the job holds the occurrence no longer.
    void lateEndOfAForgottenOccurrenceNeedsALapse()
    {
        SubmitCall call = overdueJob(3);
        constexpr std::uint32_t intervalMs = 20'000; // longer than the owner waits for the agent
        call.spec.repetition = {3, harnessStartMs, intervalMs};
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {{repeatedJob, call.rules, call.spec, {0}, {0}, {}}});
        owner.join("agent-1");
        owner.advanceTimeWithReports(unfencedRunExpiryTimeout + 100ms);
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.commitAll();
        owner.advanceTimeWithReports(std::chrono::milliseconds(intervalMs) - unfencedRunExpiryTimeout);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), owner.orderedStarts("agent-1").at(1).task.occurrence);
        owner.join("agent-2", 8000, {}, {{1, {{repeatedJob, 0, 0, 0}, 1}, RunOutcome::Done, 10}});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), owner.endsToLapse.at("agent-2"));
    }

    /// Guards against occurrences that begin after their job was cancelled while they waited for earlier ones.
    void cancelledWhileSomeWait()
    {
        OwnerHarness owner({"agent-1"});
        joinWorker(owner);
        owner.submit(1, overdueJob(100'000));
        owner.commit();
        owner.advanceTime(50ms);
        owner.feed(CallArrived{2, CancelCall{repeatedJob}});
        Worker worker;
        for (int turn = 0; turn < 20; ++turn) {
            worker.endRuns(owner);
            owner.advanceTime(50ms);
            owner.commit();
        }
        CPPUNIT_ASSERT(owner.state.finished.at(repeatedJob) == JobState::Cancelled);
        CPPUNIT_ASSERT(owner.state.occurrences.empty());
        CPPUNIT_ASSERT(worker.startsOfOccurrence.size() <= parallelTasks);
    }

private:
    static constexpr std::int64_t harnessStartMs = 1'100'000; ///< Wall clock of the harness at its start, Unix time in milliseconds
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOverdueOccurrences);
