#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <set>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

class TestTakeover : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTakeover);
    CPPUNIT_TEST(waitsForTheAgentsOfTheFormerOwner);
    CPPUNIT_TEST(waitsForTheFormerOwnersAuthorityAndTheLeases);
    CPPUNIT_TEST(waitsLongerForAFormerOwnerThatMayBeConfirmed);
    CPPUNIT_TEST(waitsForTheLeasesOnceFormerOwnersAreFenced);
    CPPUNIT_TEST(callOfAFormerOwnerWaitsForItsAgents);
    CPPUNIT_TEST(lateFencingWaitsForTheAgentsAgain);
    CPPUNIT_TEST(agentsOfAnUnfencedOwnerAreHandedOn);
    CPPUNIT_TEST(ownerWithoutAuthoritySendsNoOrders);
    CPPUNIT_TEST(everyCallOfAnUnfencedOwnerWaitsForItsAgents);
    CPPUNIT_TEST(callOfAFormerOwnerWaitsAlsoOnceItIsFenced);
    CPPUNIT_TEST(callWaitsOnWhenFormerOwnersAreFenced);
    CPPUNIT_TEST(adoptsWhatRuns);
    CPPUNIT_TEST(runNumbersIncreaseAcrossOwners);
    CPPUNIT_TEST(recordedAgentsWorkAtOnce);
    CPPUNIT_TEST(failedEndKeepsTaskInDoubt);
    CPPUNIT_TEST(doneEndOfTheFormerOwnerCounts);
    CPPUNIT_TEST(adoptsRunsOfBestEffortJobs);
    CPPUNIT_TEST(stopsOrphanedRuns);
    CPPUNIT_TEST(orphanThatIsBeingStoppedIsNotRepeated);
    CPPUNIT_TEST(orphanOfALateAgentIsNotRepeated);
    CPPUNIT_TEST(finishedJobsStayKnown);
    CPPUNIT_TEST(laterStepsStayBlocked);
    CPPUNIT_TEST(latestRecordCounts);
    CPPUNIT_TEST(oldRecordsAreRewrittenByAnyOwner);
    CPPUNIT_TEST(noTaskTwiceInManySchedules);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a second run of a task that still runs on an agent which has not reported to the new owner yet.
    void waitsForTheAgentsOfTheFormerOwner()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {jobRecord(7, 1)});
        owner.join("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.join("agent-2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against jobs that wait for ever for an agent which does not come back, and against a second run of a task on an agent whose
    /// leases the former owner renews until its authority ends.
    void waitsForTheFormerOwnersAuthorityAndTheLeases()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {jobRecord(7, 1)});
        owner.feed(FormerOwnersFenced{});
        owner.join("agent-1");
        checkStartsAfter(owner, ownerAuthorityTimeout + runExpiryTimeout);
    }

    /// Guards against a second run of a task on an agent whose former owner most entries go on confirming in a partition.
    void waitsLongerForAFormerOwnerThatMayBeConfirmed()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {jobRecord(7, 1)});
        owner.join("agent-1");
        checkStartsAfter(owner, unfencedRunExpiryTimeout);
    }

    /// Guards against a wait that begins before most entries have learned of the successor.
    void waitsForTheLeasesOnceFormerOwnersAreFenced()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {jobRecord(7, 1)});
        owner.join("agent-1");
        owner.advanceTimeWithReports(3s);
        owner.feed(FormerOwnersFenced{});
        checkStartsAfter(owner, ownerAuthorityTimeout + runExpiryTimeout);
    }

    /// Guards against a task that starts again while it runs on an agent that the owner has stopped waiting for, after a long partition in
    /// which the former owner has gone on.
    void callOfAFormerOwnerWaitsForItsAgents()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2);
        owner.join("agent-1");
        owner.advanceTimeWithReports(unfencedRunExpiryTimeout + 100ms);
        SubmitCall call = bestEffort(7, 1);
        call.mayHaveRun = true;
        owner.submit(1, call);
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.join("agent-2", 8000, {possibleRun(7, 0, 1)});
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.reportEnd("agent-2", {{7, 0, 0}, 1}, RunOutcome::Done);
        CPPUNIT_ASSERT(owner.answerTo(1).has_value());
    }

    /// Guards against the same when the entries of the former owner's side are heard again before its callers' jobs arrive.
    void lateFencingWaitsForTheAgentsAgain()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2);
        owner.join("agent-1");
        owner.advanceTimeWithReports(unfencedRunExpiryTimeout + 100ms);
        owner.feed(FormerOwnersFenced{});
        owner.submit(1, bestEffort(7, 1));
        checkStartsAfter(owner, ownerAuthorityTimeout + runExpiryTimeout);
    }

    /// Guards against a next owner that doesn't wait for agents whose former owner goes on in a partition, as the owner between them has stopped
    /// waiting.
    void agentsOfAnUnfencedOwnerAreHandedOn()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2);
        owner.join("agent-1");
        owner.advanceTimeWithReports(unfencedRunExpiryTimeout + 100ms);
        owner.join("agent-3");
        owner.commitAll();
        CPPUNIT_ASSERT((owner.state.recorder.owner().agents == std::vector<std::string>{"agent-1", "agent-2", "agent-3"}));
        owner.advanceTime(formerOwnerRetention);
        owner.commitAll();
        CPPUNIT_ASSERT((owner.state.recorder.owner().agents == std::vector<std::string>{"agent-1", "agent-3"}));
    }

    /// Guards against a replaced owner that starts tasks, or renews leases by echoing tokens, after its successor has taken their ends for
    /// granted.
    void ownerWithoutAuthoritySendsNoOrders()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.feed(AuthorityRenewed{owner.state.now + 500ms});
        owner.submit(1, bestEffort(7, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        owner.advanceTime(600ms);
        const std::uint64_t ordersBefore = owner.state.agents[0].ordersSent;
        owner.submit(2, bestEffort(8, 1));
        owner.advanceTimeWithReports(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(ordersBefore, owner.state.agents[0].ordersSent);
        owner.feed(AuthorityRenewed{owner.state.now + 500ms});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against a former owner that counts as fenced since one of its calls has arrived, while it goes on with others.
    void everyCallOfAnUnfencedOwnerWaitsForItsAgents()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2);
        owner.join("agent-1");
        owner.advanceTimeWithReports(unfencedRunExpiryTimeout + 100ms);
        SubmitCall call = bestEffort(7, 1);
        call.mayHaveRun = true;
        owner.submit(1, call);
        owner.advanceTimeWithReports(formerRunExpiryTimeout + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        call = bestEffort(8, 1);
        call.mayHaveRun = true;
        owner.submit(2, call);
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against a job that starts beside a run of a former owner as soon as that one is fenced: its leases go on for a while.
    void callOfAFormerOwnerWaitsAlsoOnceItIsFenced()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2);
        owner.join("agent-1");
        owner.advanceTimeWithReports(unfencedRunExpiryTimeout + 100ms);
        SubmitCall call = bestEffort(7, 1);
        call.mayHaveRun = true;
        owner.submit(1, call);
        owner.feed(FormerOwnersFenced{});
        owner.submit(2, bestEffort(8, 1));
        owner.advanceTimeWithReports(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
    }

    /// Guards against a start while a former owner's run of the call goes on: the owner is fenced during the wait, and its runs end later than that.
    void callWaitsOnWhenFormerOwnersAreFenced()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2);
        owner.join("agent-1");
        owner.advanceTimeWithReports(unfencedRunExpiryTimeout + 100ms);
        SubmitCall call = bestEffort(7, 1);
        call.mayHaveRun = true;
        owner.submit(1, call);
        owner.advanceTimeWithReports(1s);
        owner.feed(FormerOwnersFenced{});
        checkStartsAfter(owner, ownerAuthorityTimeout + runExpiryTimeout);
    }

    /// Guards against stopping or repeating runs because their owner changed.
    void adoptsWhatRuns()
    {
        OwnerHarness owner({"agent-1"}, 2, {jobRecord(7, 2)});
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), owner.orderedStarts("agent-1").at(0).task.index);
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
    }

    /// Guards against a start that the worker refuses because its run number is not above that of an earlier run.
    void runNumbersIncreaseAcrossOwners()
    {
        OwnerHarness owner({"agent-1"}, 3, {jobRecord(7, 1)});
        owner.join("agent-1");
        CPPUNIT_ASSERT(owner.orderedStarts("agent-1").at(0).run > runsPerEpoch);
    }

    /// Guards against a new owner whose agents never get work because they are already in the owner record and so no commit
    /// follows.
    void recordedAgentsWorkAtOnce()
    {
        OwnerHarness owner({"agent-1"}, 2);
        owner.join("agent-1");
        owner.submit(1, bestEffort(7, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.commits.empty());
    }

    /// Guards against restarting a task after a failed run of the former owner while a later run of it is active on an agent
    /// that has not reported yet.
    void failedEndKeepsTaskInDoubt()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2);
        owner.submit(1, bestEffort(7, 1));
        owner.join("agent-1", 8000, {}, {{1, {{7, 0, 0}, 1}, RunOutcome::Failed, 10}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.join("agent-2", 8000, {possibleRun(7, 0, 2)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.reportEnd("agent-2", {{7, 0, 0}, 2}, RunOutcome::Done);
        CPPUNIT_ASSERT(owner.answerTo(1).has_value());
    }

    /// Guards against running a task again although its run under the former owner was done.
    void doneEndOfTheFormerOwnerCounts()
    {
        OwnerHarness owner({"agent-1"}, 2, {jobRecord(7, 1)});
        owner.join("agent-1", 8000, {}, {{5, {{7, 0, 0}, 1}, RunOutcome::Done, 10}});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Completed);
    }

    /// Guards against two runs of a best-effort task whose job reaches the new owner after the agent's report of the run.
    void adoptsRunsOfBestEffortJobs()
    {
        OwnerHarness owner({"agent-1"}, 2);
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
        owner.submit(1, bestEffort(7, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), owner.orderedStarts("agent-1").at(0).task.index);
    }

    /// Guards against runs that occupy workers for jobs whose callers do not submit them again.
    void stopsOrphanedRuns()
    {
        OwnerHarness owner({"agent-1"}, 2);
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        owner.advanceTime(orphanGracePeriod + 10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
    }

    /// Guards against a task that starts for a job submitted again while the stop of its former run is on its way.
    void orphanThatIsBeingStoppedIsNotRepeated()
    {
        OwnerHarness owner({"agent-1"}, 2);
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        owner.advanceTime(orphanGracePeriod + 10ms);
        checkStartsOnceStopped(owner);
    }

    /// Guards against the same with a run that an agent reports only after the time for submissions.
    void orphanOfALateAgentIsNotRepeated()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2);
        owner.join("agent-2");
        owner.advanceTime(orphanGracePeriod + 10ms);
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        checkStartsOnceStopped(owner);
    }

    /// Guards against a finished job that is unknown to the next owner and runs again when it is resubmitted.
    void finishedJobsStayKnown()
    {
        StoredJobs content;
        content.owner = {2, 0, "entry-1", 1, {"agent-1"}};
        content.finished.push_back({finishedKey(1, 0), {1'000'000, {{7, JobState::Completed}}}});
        OwnerState state = takeOver(std::move(content), 100s, Base::WallTime(1'000'000));
        const OwnerEffects effects = reduce(state, CallArrived{1, submission(7, 1)});
        const auto *reply = effects.empty() ? nullptr : std::get_if<Reply>(effects.data());
        CPPUNIT_ASSERT(reply != nullptr);
        CPPUNIT_ASSERT(reply->answer.kind == CallAnswer::Kind::Accepted);
        CPPUNIT_ASSERT(state.jobs.empty());
    }

    /// Guards against a takeover after which a later step starts together with the step it depends on.
    void laterStepsStayBlocked()
    {
        JobRecord record = jobRecord(7, 1);
        record.spec.steps.push_back(record.spec.steps.front());
        record.spec.steps.back().after = {0};
        record.done = {0, 0};
        record.failures = {0, 0};
        OwnerHarness owner({"agent-1"}, 2, {record});
        owner.join("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(0), owner.orderedStarts("agent-1").at(0).task.step);
    }

    /// Guards against losing a recorded failure or end because an older record of the job is read.
    void latestRecordCounts()
    {
        JobRecord older = jobRecord(7, 2);
        JobRecord newer = older;
        newer.done = {1, 0};
        newer.failures = {0, 2};
        StoredJobs content;
        content.owner = {2, 0, "entry-1", 1, {}};
        content.packs.push_back({packKey(1, 9), {0, {encodeRecord(newer)}}});
        content.packs.push_back({packKey(1, 2), {0, {encodeRecord(older), encodeRecord(jobRecord(8, 1))}}});
        content.finished.push_back({finishedKey(1, 0), {1'000'000, {{8, JobState::Completed}}}});
        const OwnerState state = takeOver(std::move(content), 100s, Base::WallTime(1'000'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.jobs.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), state.jobs.at(7).doneTasks);
        CPPUNIT_ASSERT_EQUAL(2, static_cast<int>(state.jobs.at(7).tasks[1].failures));
    }

    /// Guards against records that outlive the final states stored beside them because each new owner starts to count their age
    /// anew.
    void oldRecordsAreRewrittenByAnyOwner()
    {
        StoredJobs content;
        content.owner = {2, 0, "entry-1", 1, {}};
        content.packs.push_back({packKey(1, 0), {1'000'000, {encodeRecord(jobRecord(7, 1))}}});
        const Base::WallTime later(1'000'000 + std::chrono::duration_cast<Base::WallTime>(packRewriteAge).count() + 1);
        const OwnerState state = takeOver(std::move(content), 100s, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.recorder.jobsToRewrite(later).size());
    }

    /// Guards against any order of agents' reports, ends and submissions after which a task runs twice.
    void noTaskTwiceInManySchedules()
    {
        constexpr unsigned seeds = 2000;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            runSchedule(seed);
        }
    }

private:
    /// Checks that the only task starts on agent-1 once the time has passed, and not 300 ms earlier.
    static void checkStartsAfter(OwnerHarness &owner, Base::Duration time)
    {
        for (Base::Duration waited{}; waited < time; waited += 300ms) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
            owner.feed(AgentReported{"agent-1", owner.report("agent-1")});
            owner.advanceTime(300ms);
        }
        owner.feed(AgentReported{"agent-1", owner.report("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Submits the job of a run that is being stopped on agent-1.
    static void checkStartsOnceStopped(OwnerHarness &owner)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
        owner.submit(1, bestEffort(7, 1));
        owner.advanceTimeWithReports(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.confirmStops();
        owner.advanceTimeWithReports(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// A former owner left runs on three agents. Their reports and the submissions of the jobs reach the new owner in random
    /// order.
    static void runSchedule(unsigned seed)
    {
        constexpr std::uint32_t jobs = 4;
        constexpr std::uint32_t tasks = 3;
        std::mt19937 random(seed);
        const std::vector<std::string> agentNames{"agent-1", "agent-2", "agent-3"};
        std::map<std::string, std::vector<PossibleRun>> running;
        std::map<std::string, std::vector<RunEnd>> ends;
        std::set<TaskRef> runningTasks;
        for (JobId job = 1; job <= jobs; ++job) {
            for (std::uint32_t index = 0; index < tasks; ++index) {
                addFormerRuns(random, agentNames, job, index, running, ends, runningTasks);
            }
        }
        OwnerHarness owner(agentNames, 2);
        std::vector<unsigned> steps;
        for (unsigned step = 0; step < agentNames.size() + jobs; ++step) {
            steps.push_back(step);
        }
        std::shuffle(steps.begin(), steps.end(), random);
        for (const unsigned step : steps) {
            if (step < agentNames.size()) {
                owner.join(agentNames[step], 64'000, running[agentNames[step]], ends[agentNames[step]]);
            } else {
                owner.submit(step, bestEffort(step - agentNames.size() + 1, tasks));
            }
            owner.advanceTime(std::chrono::milliseconds(random() % 20));
            for (const std::string &name : agentNames) {
                for (const RunRef &run : owner.orderedStarts(name)) {
                    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": task started that a run of the former owner still occupies",
                                           !runningTasks.contains(run.task));
                }
            }
        }
    }

    /// Adds up to two ended runs and, at random, an active run of the task.
    static void addFormerRuns(std::mt19937 &random,
                              const std::vector<std::string> &agentNames,
                              JobId job,
                              std::uint32_t index,
                              std::map<std::string, std::vector<PossibleRun>> &running,
                              std::map<std::string, std::vector<RunEnd>> &ends,
                              std::set<TaskRef> &runningTasks)
    {
        std::uint32_t run = 1;
        while (random() % 3 == 0) {
            auto &agentEnds = ends[agentNames[random() % agentNames.size()]];
            agentEnds.push_back({agentEnds.size() + 1, {{job, 0, index}, run}, random() % 2 == 0 ? RunOutcome::Failed : RunOutcome::Lapsed, 10});
            ++run;
            // A third failed run would end the job, whose runs would then only be stopped.
            if (run > 2) {
                break;
            }
        }
        if (random() % 2 == 0) {
            running[agentNames[random() % agentNames.size()]].push_back(possibleRun(job, index, run));
            runningTasks.insert({job, 0, index});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTakeover);
