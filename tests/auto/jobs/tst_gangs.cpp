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

PossibleRun possibleRun(JobId job, std::uint32_t index, std::uint32_t run)
{
    return {{{job, 0, index}, run}, {1000, 64, 0}};
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
    /// Guards against members that wait on their workers for others which find no room.
    void startsWholeOrNotAtAll()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", 2000);
        owner.submit(1, gangSubmission(7, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.join("agent-2", 2000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.orderedStartCount());
    }

    /// Guards against members that the worker takes for different gangs, also when they were started differently often.
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

    /// Guards against a job that waits for ends which have already been told by another member.
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

    /// Guards against a done end that is forgotten by its worker before the next owner could know of it.
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

    /// Guards against a gang of which some members work for nothing after one has ended.
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

    /// Guards against a second run of a member whose first run is still being stopped.
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

    /// Guards against a job that fails early because each member's end counts as a failure of the gang.
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

    /// Guards against members that wait for one whose worker refused it.
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

    /// Guards against two gangs that each hold half of the room and wait for the other half.
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

    /// Guards against a gang that never finds room at once because small tasks always take what becomes free.
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

    /// Guards against workers that stand idle for a gang which is larger than all of them.
    void impossibleGangReservesNothing()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", 2000);
        owner.submit(1, gangSubmission(7, 3));
        owner.advanceTimeWithReports(2 * reservationDelay);
        owner.submit(2, bestEffort(8, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against tasks that take half as long again because they were spread over racks without need.
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

    /// Guards against a gang that waits for a rack longer than the distance between racks would cost it.
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

    /// Guards against a running gang that is thrown away because its owner changed.
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

    /// Guards against a member that waits for one which was lost with the former owner's agent.
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
    /// Random members end in random ways; stops are confirmed late. No member is started while any former run is left.
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
                    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !formerRun);
                }
                liveRuns[runs[i]] = name;
                ++started[runs[i].task.job];
            }
            checkedStarts[name] = runs.size();
        }
        for (const auto &[job, count] : started) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t(3), count);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestGangs);
