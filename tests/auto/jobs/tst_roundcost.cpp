#include "waitingjobs.h"

#include "jobs/jobshape.h"
#include "jobs/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

constexpr JobId firstWaiting = 1000;
constexpr std::uint32_t waitingJobs = 500;

/// Upper bound of what a round may look at for the sake of one free worker, however many jobs wait.
constexpr std::uint64_t fewSteps = 10;

/// Submits best-effort jobs of one task, each of which needs another amount of processor capacity. None can be refused, as a former owner may have run it.
void submitWithDifferentNeeds(OwnerHarness &owner, std::uint32_t leastMilli, std::uint32_t estimateMs)
{
    for (std::uint32_t i = 0; i < waitingJobs; ++i) {
        SubmitCall call = bestEffort(firstWaiting + i, 1, estimateMs, leastMilli + i);
        call.mayHaveRun = true;
        owner.submit(firstWaiting + i, call);
    }
}

/// Gives the worker a speed that it is known to have.
void setSpeed(OwnerHarness &owner, const std::string &agent, double speed)
{
    WorkerHealth &health = owner.state.agents[owner.state.agentByName.at(agent)].health;
    health.logSpeed = std::log(speed);
    health.samples = 100;
    health.lastSampleAt = owner.state.now;
}

/// Returns the agent that was ordered to start the job's only task.
std::string startedOn(const OwnerHarness &owner, JobId job)
{
    for (const Agent &agent : owner.state.agents) {
        for (const RunRef &run : owner.orderedStarts(agent.name)) {
            if (run.task.job == job) {
                return agent.name;
            }
        }
    }
    return {};
}

/// Returns a ready task of a waiting job that a worker could take now; empty if there is none. Looks at all of them.
std::string startableTask(const OwnerState &state)
{
    for (const auto &[id, job] : state.jobs) {
        for (std::uint32_t flat = 0; flat < job.tasks.size() && job.queuedAt; ++flat) {
            const StepSpec &step = stepSpec(job, findStepIndex(job, flat));
            const bool ready = job.tasks[flat].phase == Task::Phase::Ready && !state.runCounts.contains(taskRef(job, flat));
            if (ready && chooseWorker(state, job, flat, maxCostInTime(state, job, step), {}).agent != noAgent) {
                return "task " + std::to_string(flat) + " of job " + std::to_string(id);
            }
        }
    }
    return {};
}

} // namespace

class TestRoundCost : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRoundCost);
    CPPUNIT_TEST(jobsWithoutRoomAreLeftOut);
    CPPUNIT_TEST(jobsThatAwaitFasterWorkersShareOneSearch);
    CPPUNIT_TEST(jobsKeptOutByReservationsShareOneSearch);
    CPPUNIT_TEST(roundsLeaveNoTaskThatCouldStart);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Load: a backlog of jobs with different needs, on full workers. Guards against rounds that look at each waiting job for each run that ends, so that the owner
    /// falls behind further the more jobs wait.
    void jobsWithoutRoomAreLeftOut()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        for (JobId id = 1; id <= 4; ++id) {
            owner.submit(id, bestEffort(id, 1, 2000, id <= 2 ? workerMilli - 1000 : 1000));
        }
        submitWithDifferentNeeds(owner, 7000, 2000);
        const std::vector<RunRef> starts = owner.orderedStarts("agent-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
        const RoundCounts before = owner.state.roundCounts;
        owner.reportEnd("agent-1", starts.back(), RunOutcome::Done);
        CPPUNIT_ASSERT(owner.state.roundCounts.rounds > before.rounds);
        CPPUNIT_ASSERT_LESSEQUAL(before.steps + fewSteps, owner.state.roundCounts.steps);
    }

    /// Load: a backlog of jobs with different needs that would end late on the only workers with room. Guards against a search of all workers for each of them in
    /// each round.
    void jobsThatAwaitFasterWorkersShareOneSearch()
    {
        OwnerHarness owner({"fast", "slow"});
        owner.join("fast", workerMilli);
        owner.join("slow", workerMilli);
        owner.submit(1, bestEffort(1, 1, 5000, workerMilli));
        owner.submit(2, bestEffort(2, 1, 5000, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        setSpeed(owner, "fast", 2.0);
        setSpeed(owner, "slow", 0.1);
        submitWithDifferentNeeds(owner, 7000, 5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        const RoundCounts before = owner.state.roundCounts;
        owner.reportEnd("slow", owner.orderedStarts("slow").front(), RunOutcome::Done);
        CPPUNIT_ASSERT(owner.state.roundCounts.rounds > before.rounds);
        CPPUNIT_ASSERT_LESSEQUAL(before.workerSearches + fewSteps, owner.state.roundCounts.workerSearches);
    }

    /// Load: a backlog of jobs with different needs while all room is reserved for a gang. Guards against a search of all workers for each of them in each round.
    void jobsKeptOutByReservationsShareOneSearch()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        owner.submit(1, bestEffort(1, 2, 5000, 16'500));
        owner.submit(2, bestEffort(2, 1, 5000, 500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.orderedStartCount());
        owner.submit(3, gang(bestEffort(3, 2, 10'000, 30'000)));
        owner.advanceTimeWithReports(400ms);
        submitWithDifferentNeeds(owner, 7000, 20'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.orderedStartCount());
        const RoundCounts before = owner.state.roundCounts;
        const std::string agent = startedOn(owner, 2);
        owner.reportEnd(agent, owner.orderedStarts(agent).back(), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.state.roundCounts.rounds > before.rounds);
        CPPUNIT_ASSERT_LESSEQUAL(before.workerSearches + fewSteps, owner.state.roundCounts.workerSearches);
    }

    /// Guards against steps that are left out of a round although a worker would take them: after each event, a plain search for each waiting task must find none.
    void roundsLeaveNoTaskThatCouldStart()
    {
        const std::vector<std::string> agents{"agent-1", "agent-2", "agent-3", "agent-4"};
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            std::mt19937_64 random(seed);
            OwnerHarness owner(agents);
            for (const std::string &agent : agents) {
                owner.join(agent, workerMilli);
                setSpeed(owner, agent, std::uniform_real_distribution<double>(0.3, 2.0)(random));
            }
            std::map<std::string, std::size_t> ended;
            for (JobId id = 1; id <= 150; ++id) {
                const auto tasks = std::uniform_int_distribution<std::uint32_t>(1, 4)(random);
                const auto needMilli = std::uniform_int_distribution<std::uint32_t>(500, 12'000)(random);
                owner.submit(id, bestEffort(id, tasks, std::uniform_int_distribution<std::uint32_t>(20, 800)(random), needMilli));
                const std::string &agent = agents[random() % agents.size()];
                const std::vector<RunRef> starts = owner.orderedStarts(agent);
                if (ended[agent] < starts.size() && random() % 3 != 0) {
                    owner.reportEnd(agent, starts[ended[agent]++], random() % 10 == 0 ? RunOutcome::Failed : RunOutcome::Done);
                }
                CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), startableTask(owner.state));
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !owner.state.ready.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRoundCost);
