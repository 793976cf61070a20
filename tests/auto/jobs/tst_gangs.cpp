#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

SubmitCall gangSubmission(JobId id, std::uint32_t members, std::uint32_t cpuMilli = 1000)
{
    SubmitCall call = bestEffort(id, members, 100, cpuMilli);
    call.spec.steps.front().gang = true;
    return call;
}

JobRecord gangRecord(JobId id, std::uint32_t members)
{
    const SubmitCall call = gangSubmission(id, members);
    return {id, call.rules, call.spec, std::vector<std::uint8_t>(members, 0), std::vector<std::uint8_t>(members, 0), {}};
}

std::set<std::uint32_t> runNumbers(const std::vector<RunRef> &runs)
{
    std::set<std::uint32_t> numbers;
    for (const RunRef &run : runs) {
        numbers.insert(run.run);
    }
    return numbers;
}

} // namespace

class TestGangs : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestGangs);
    CPPUNIT_TEST(startsWholeOrNotAtAll);
    CPPUNIT_TEST(membersShareTheRun);
    CPPUNIT_TEST(oneDoneMemberCompletesTheGang);
    CPPUNIT_TEST(laterDoneEndsWaitForTheRecord);
    CPPUNIT_TEST(brokenMemberStopsAndRepeatsAll);
    CPPUNIT_TEST(waitsForTheLastMemberToEnd);
    CPPUNIT_TEST(oneFailureForAllMembers);
    CPPUNIT_TEST(refusedMemberStopsTheOthers);
    CPPUNIT_TEST(competingGangsDoNotBlockEachOther);
    CPPUNIT_TEST(smallWorkDoesNotStarveAGang);
    CPPUNIT_TEST(impossibleGangReservesNothing);
    CPPUNIT_TEST(prefersOneRack);
    CPPUNIT_TEST(spreadsOverRacksAfterADelay);
    CPPUNIT_TEST(successorAdoptsAWholeGang);
    CPPUNIT_TEST(successorStopsAPartialGang);
    CPPUNIT_TEST(noMemberAloneInManySchedules);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against starting a part of a gang, whose members then occupy workers while they wait for others that find no free
    /// capacity.
    void startsWholeOrNotAtAll()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", 2000);
        owner.submit(1, gangSubmission(7, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.join("agent-2", 2000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.orderedStartCount());
    }

    /// Guards against members with different run numbers, which a worker takes for members of different gangs. It happens if
    /// each task counts its own starts.
    void membersShareTheRun()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, gangSubmission(7, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), runNumbers(owner.orderedStarts("agent-1")).size());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(1), RunOutcome::Failed);
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), runNumbers(owner.orderedStarts("agent-1")).size());
    }

    /// Guards against a job that waits for the end of each member although one done member ends the whole gang.
    void oneDoneMemberCompletesTheGang()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, gangSubmission(7, 3));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(2), RunOutcome::Done);
        CPPUNIT_ASSERT(owner.answerTo(1).has_value());
        CPPUNIT_ASSERT(owner.answerTo(1)->state == JobState::Completed);
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
    }

    /// Guards against acknowledging the end of a further member before the gang's end is recorded: the worker would drop the
    /// end, and the next owner would not learn of it.
    void laterDoneEndsWaitForTheRecord()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        SubmitCall call = gangSubmission(7, 2);
        call.bestEffort = false;
        call.spec.steps.push_back({1, {1000, 64, 0}, 100, {0}, {}, {}, 0});
        owner.submit(1, call);
        owner.commit();
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(1), RunOutcome::Done);
        owner.advanceTime(ordersKeepAliveInterval);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), owner.endsRecorded["agent-1"]);
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), owner.endsRecorded["agent-1"]);
    }

    /// Guards against members that run on without effect after another member has ended without success.
    void brokenMemberStopsAndRepeatsAll()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, gangSubmission(7, 3));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Lapsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStops("agent-1").size());
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), owner.orderedStartCount());
    }

    /// Guards against starting a gang again while a member of its former run is still being stopped.
    void waitsForTheLastMemberToEnd()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, gangSubmission(7, 3));
        const std::vector<RunRef> runs = owner.orderedStarts("agent-1");
        owner.reportEnd("agent-1", runs.at(0), RunOutcome::Lapsed);
        owner.reportEnd("agent-1", runs.at(1), RunOutcome::Stopped);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.orderedStartCount());
        owner.reportEnd("agent-1", runs.at(2), RunOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), owner.orderedStartCount());
    }

    /// Guards against a job that fails too early because the end of each member counts as a failure of the gang.
    void oneFailureForAllMembers()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        SubmitCall call = gangSubmission(7, 3);
        call.rules.maxAttempts = 2;
        owner.submit(1, call);
        for (const RunRef &run : owner.orderedStarts("agent-1")) {
            owner.reportEnd("agent-1", run, RunOutcome::Failed);
        }
        CPPUNIT_ASSERT(!owner.answerTo(1).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), owner.orderedStartCount());
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(4), RunOutcome::Failed);
        CPPUNIT_ASSERT(owner.answerTo(1).has_value());
        CPPUNIT_ASSERT(owner.answerTo(1)->state == JobState::Failed);
    }

    /// Guards against members that wait for one whose start was refused by its worker.
    void refusedMemberStopsTheOthers()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1");
        owner.submit(1, gangSubmission(7, 2));
        AgentReport report = owner.report("agent-1");
        report.refusals.push_back({owner.orderedStarts("agent-1").at(0), RunRefusal::Reason::NoRoom});
        owner.feed(AgentReported{"agent-1", report});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), owner.orderedStartCount());
    }

    /// Guards against a deadlock of two gangs that each hold half of the capacity and wait for the other half.
    void competingGangsDoNotBlockEachOther()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.submit(1, gangSubmission(7, 3));
        owner.submit(2, gangSubmission(8, 3));
        owner.join("agent-1", 2000);
        owner.join("agent-2", 2000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.orderedStartCount());
        const JobId first = owner.orderedStarts("agent-1").at(0).task.job;
        const std::vector<RunRef> firstAgentRuns = owner.orderedStarts("agent-1");
        const std::vector<RunRef> secondAgentRuns = owner.orderedStarts("agent-2");
        for (const RunRef &run : firstAgentRuns) {
            CPPUNIT_ASSERT_EQUAL(first, run.task.job);
            owner.reportEnd("agent-1", run, RunOutcome::Done);
        }
        for (const RunRef &run : secondAgentRuns) {
            CPPUNIT_ASSERT_EQUAL(first, run.task.job);
            owner.reportEnd("agent-2", run, RunOutcome::Done);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), owner.orderedStartCount());
    }

    /// Guards against starvation of a gang: single tasks always fit first into the capacity that becomes free.
    void smallWorkDoesNotStarveAGang()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 4000);
        JobId next = 100;
        for (int i = 0; i < 4; ++i) {
            owner.submit(next, bestEffort(next, 1));
            ++next;
        }
        SubmitCall call = gangSubmission(7, 4);
        call.bestEffort = false;
        owner.submit(1, call);
        owner.commit();
        std::size_t ended = 0;
        const auto gangStarted = [&owner] {
            const std::vector<RunRef> runs = owner.orderedStarts("agent-1");
            return std::count_if(runs.begin(), runs.end(), [](const RunRef &run) { return run.task.job == 7; }) == 4;
        };
        for (int round = 0; round < 150 && !gangStarted(); ++round) {
            owner.advanceTimeWithReports(50ms);
            owner.submit(next, bestEffort(next, 1));
            ++next;
            if (ended < owner.orderedStarts("agent-1").size()) {
                owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(ended), RunOutcome::Done);
                ++ended;
            }
        }
        CPPUNIT_ASSERT(gangStarted());
    }

    /// Guards against workers that stay idle because they are reserved for a gang which is larger than all of them together.
    void impossibleGangReservesNothing()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        owner.submit(1, gangSubmission(7, 3));
        owner.advanceTimeWithReports(2 * reservationDelay);
        owner.submit(2, bestEffort(8, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against spreading a gang over racks without need, which makes its tasks take half as long again.
    void prefersOneRack()
    {
        OwnerHarness owner({"agent-1", "agent-2", "agent-3"});
        owner.joinOnRack("agent-1", "rack-1", 2000);
        owner.joinOnRack("agent-2", "rack-2", 2000);
        owner.joinOnRack("agent-3", "rack-2", 2000);
        SubmitCall call = gangSubmission(7, 4);
        call.spec.steps.front().sameRack = true;
        owner.submit(1, call);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.orderedStarts("agent-1").empty());
    }

    /// Guards against a gang that waits for capacity in one rack for longer than running across racks would cost it.
    void spreadsOverRacksAfterADelay()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.joinOnRack("agent-1", "rack-1", 2000);
        owner.joinOnRack("agent-2", "rack-2", 2000);
        owner.submit(1, bestEffort(6, 1));
        owner.submit(2, bestEffort(5, 1));
        SubmitCall call = gangSubmission(7, 2);
        call.spec.steps.front().sameRack = true;
        owner.submit(3, call);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        owner.advanceTimeWithReports(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), owner.orderedStartCount());
    }

    /// Guards against stopping a running gang because its owner changed.
    void successorAdoptsAWholeGang()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {gangRecord(7, 2)});
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        owner.join("agent-2", 8000, {possibleRun(7, 1, 1)});
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
        owner.reportEnd("agent-2", {{7, 0, 1}, 1}, RunOutcome::Done);
        owner.commitAll();
        CPPUNIT_ASSERT(owner.state.finished.at(7) == JobState::Completed);
    }

    /// Guards against a member that waits for another one which was lost together with the former owner.
    void successorStopsAPartialGang()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, {gangRecord(7, 2)});
        owner.join("agent-1", 8000, {possibleRun(7, 0, 1)});
        CPPUNIT_ASSERT(owner.orderedStops("agent-1").empty());
        owner.join("agent-2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStops("agent-1").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.confirmStops();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against any order of ends after which a member runs without the others, or twice.
    void noMemberAloneInManySchedules()
    {
        constexpr unsigned seeds = 1000;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            runSchedule(seed);
        }
    }

private:
    /// Ends random members with random outcomes and confirms stops late. No member may be started while a former run of its
    /// gang is left.
    static void runSchedule(unsigned seed)
    {
        std::mt19937 random(seed);
        const std::vector<std::string> agentNames{"agent-1", "agent-2"};
        OwnerHarness owner(agentNames);
        owner.join(agentNames[0], 6000);
        owner.join(agentNames[1], 6000);
        std::map<std::string, std::size_t> checkedStarts;
        std::map<RunRef, std::string> liveRuns;
        for (JobId job = 1; job <= 3; ++job) {
            SubmitCall call = gangSubmission(job, 3);
            call.rules.maxAttempts = 100;
            owner.submit(job, call);
        }
        for (int step = 0; step < 40; ++step) {
            checkNewStarts(owner, agentNames, checkedStarts, liveRuns, seed);
            if (liveRuns.empty()) {
                break;
            }
            const auto chosen = std::next(liveRuns.begin(), static_cast<std::ptrdiff_t>(random() % liveRuns.size()));
            const auto [run, agent] = *chosen;
            liveRuns.erase(chosen);
            const std::vector<RunRef> stops = owner.orderedStops(agent);
            const bool stopped = std::find(stops.begin(), stops.end(), run) != stops.end();
            const RunOutcome outcomes[] = {RunOutcome::Failed, RunOutcome::Lapsed, RunOutcome::Broken};
            owner.reportEnd(agent, run, stopped ? RunOutcome::Stopped : outcomes[random() % 3]);
        }
    }

    static void checkNewStarts(OwnerHarness &owner,
                               const std::vector<std::string> &agentNames,
                               std::map<std::string, std::size_t> &checkedStarts,
                               std::map<RunRef, std::string> &liveRuns,
                               unsigned seed)
    {
        std::map<JobId, std::size_t> started;
        for (const std::string &name : agentNames) {
            const std::vector<RunRef> runs = owner.orderedStarts(name);
            for (std::size_t i = checkedStarts[name]; i < runs.size(); ++i) {
                for (const auto &[other, agent] : liveRuns) {
                    const bool formerRun = other.task.job == runs[i].task.job && other.run != runs[i].run;
                    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": member started while a former run of its gang is left", !formerRun);
                }
                liveRuns[runs[i]] = name;
                ++started[runs[i].task.job];
            }
            checkedStarts[name] = runs.size();
        }
        for (const auto &[job, count] : started) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed) + ": members of job " + std::to_string(job) + " started together", std::size_t(3), count);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestGangs);
