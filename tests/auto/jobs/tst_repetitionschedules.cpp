#include "ownercounts.h"
#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

constexpr JobId repeatedJob = 7;
constexpr std::uint32_t occurrences = 40;
constexpr std::size_t tasks = 120; ///< Of all occurrences
constexpr std::int64_t firstMs = 1'100'000; ///< Wall clock of the harness at its start
constexpr std::uint32_t intervalMs = 100;
constexpr std::uint32_t milliCoresPerTask = 1000;
constexpr std::uint32_t workerMilliCores = 3000;
constexpr int maxTurns = 4000;

SubmitCall repeatedTwoStepJob()
{
    SubmitCall call = submission(repeatedJob, 2, 50, milliCoresPerTask);
    call.spec.steps.push_back(call.spec.steps.front());
    call.spec.steps.back().count = 1;
    call.spec.steps.back().after = {0};
    call.spec.repetition = {occurrences, firstMs, intervalMs};
    call.rules.maxAttempts = 100;
    return call;
}

/// A worker with the agent in front of it. It runs what it is ordered to and lists its ends until they are acknowledged.
struct ModelAgent {
    std::string name;
    std::size_t ordersSeen = 0; ///< Starts of the present owner that were carried out.
    std::set<RunRef> running;
    std::vector<RunEnd> ends; ///< Not acknowledged.
    std::uint64_t lastEnd = 0;
    std::uint64_t lastReported = 0; ///< Latest end that the present owner has been told.
};

/// Plays a repeated job under owners that replace each other, and checks what workers see.
class Schedule
{
public:
    explicit Schedule(unsigned seed) : random_(seed), owner_({"agent-1", "agent-2"})
    {
        for (const char *name : {"agent-1", "agent-2"}) {
            agents_.emplace_back().name = name;
        }
        joinAll();
        owner_.submit(1, repeatedTwoStepJob());
        owner_.commit();
    }

    /// Returns a violation of the rules, or an empty string.
    std::string run()
    {
        for (int turn = 0; turn < maxTurns && fault_.empty() && owner_.state.jobs.contains(repeatedJob); ++turn) {
            owner_.advanceTime(std::chrono::milliseconds(random_() % 40));
            if (chance(50)) {
                owner_.commit();
            }
            for (ModelAgent &agent : agents_) {
                carryOutOrders(agent);
                endRuns(agent);
                report(agent);
                dropAcknowledged(agent);
            }
            if (chance(2)) {
                replaceOwner();
            }
            const std::string miscount = findMiscount(owner_.state);
            fault_ = miscount.empty() ? fault_ : miscount;
        }
        if (fault_.empty() && !isCompleted()) {
            return "the job is not completed";
        }
        return fault_.empty() && done_.size() < tasks ? "a task was left out" : fault_;
    }

private:
    bool chance(unsigned percent)
    {
        return random_() % 100 < percent;
    }

    bool isCompleted() const
    {
        const auto found = owner_.state.finished.find(repeatedJob);
        return found != owner_.state.finished.end() && found->second == JobState::Completed;
    }

    void joinAll()
    {
        for (ModelAgent &agent : agents_) {
            agent.ordersSeen = 0;
            std::vector<PossibleRun> running;
            for (const RunRef &run : agent.running) {
                running.push_back({run, {milliCoresPerTask, 64, 0}});
            }
            owner_.join(agent.name, workerMilliCores, running, agent.ends);
            agent.lastReported = agent.lastEnd;
        }
    }

    void carryOutOrders(ModelAgent &agent)
    {
        const std::vector<RunRef> starts = owner_.orderedStarts(agent.name);
        for (; agent.ordersSeen < starts.size(); ++agent.ordersSeen) {
            start(agent, starts[agent.ordersSeen]);
        }
        for (const RunRef &run : owner_.orderedStops(agent.name)) {
            if (agent.running.erase(run) > 0) {
                agent.ends.push_back({++agent.lastEnd, run, RunOutcome::Stopped, 10, {}});
            }
        }
    }

    void start(ModelAgent &agent, const RunRef &run)
    {
        const bool isRunning = std::any_of(agents_.begin(), agents_.end(), [&run](const ModelAgent &other) {
            return std::any_of(other.running.begin(), other.running.end(), [&run](const RunRef &active) { return active.task == run.task; });
        });
        if (isRunning || done_.contains(run.task)) {
            fault_ = "occurrence " + std::to_string(run.task.occurrence) + (isRunning ? " runs twice at once" : " starts again after its end");
        }
        if (run.task.step == 1 && !(done_.contains({run.task.job, 0, 0, run.task.occurrence}) && done_.contains({run.task.job, 0, 1, run.task.occurrence}))) {
            fault_ = "occurrence " + std::to_string(run.task.occurrence) + " begins its second step before the first is done";
        }
        agent.running.insert(run);
    }

    void endRuns(ModelAgent &agent)
    {
        const std::set<RunRef> running = agent.running;
        for (const RunRef &run : running) {
            if (!chance(20)) {
                continue;
            }
            agent.running.erase(run);
            const RunOutcome outcome = chance(80) ? RunOutcome::Done : chance(50) ? RunOutcome::Failed : RunOutcome::Lapsed;
            if (outcome == RunOutcome::Done) {
                done_.insert(run.task);
            }
            agent.ends.push_back({++agent.lastEnd, run, outcome, 50, {}});
        }
    }

    void report(ModelAgent &agent)
    {
        AgentReport report = owner_.report(agent.name);
        for (const RunEnd &end : agent.ends) {
            if (end.number > agent.lastReported) {
                report.ends.push_back(end);
            }
        }
        agent.lastReported = agent.lastEnd;
        owner_.feed(AgentReported{agent.name, std::move(report)});
    }

    void dropAcknowledged(ModelAgent &agent)
    {
        const std::uint64_t recorded = owner_.endsRecorded[agent.name];
        std::erase_if(agent.ends, [recorded](const RunEnd &end) { return end.number <= recorded; });
    }

    /// Lets another owner take over. The commit in progress was carried out.
    void replaceOwner()
    {
        for (ModelAgent &agent : agents_) {
            carryOutOrders(agent);
        }
        owner_ = OwnerHarness::successorOf(owner_);
        owner_.formerEpoch = owner_.state.epoch - 1;
        joinAll();
    }

    std::mt19937 random_;
    OwnerHarness owner_;
    std::vector<ModelAgent> agents_;
    std::set<TaskRef> done_; ///< Tasks with a run that was done.
    std::string fault_;
};

} // namespace

class TestRepetitionSchedules : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRepetitionSchedules);
    CPPUNIT_TEST(eachOccurrenceRunsOnceInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against any order of ends, commits and changes of owner after which an occurrence is left out, runs again after its end, or begins a step early.
    void eachOccurrenceRunsOnceInOrder()
    {
        constexpr unsigned seeds = 300;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            const std::string fault = Schedule(seed).run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), fault);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRepetitionSchedules);
