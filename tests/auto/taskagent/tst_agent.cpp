#include "agentharness.h"

#include "jobs/jobsconstants.h"
#include "taskagent/taskagentconstants.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <optional>

using namespace LaburnumFlow;
using namespace LaburnumFlow::TaskAgent;
using namespace LaburnumFlow::TaskAgent::Testing;

class TestTaskAgent : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTaskAgent);
    CPPUNIT_TEST(startsWithFenceAndLease);
    CPPUNIT_TEST(refusesOldOrders);
    CPPUNIT_TEST(ignoresLowerEpoch);
    CPPUNIT_TEST(readsListsUnderTheNewFence);
    CPPUNIT_TEST(listUnderFormerFenceDoesNotCount);
    CPPUNIT_TEST(fullReportNamesStartsInProgress);
    CPPUNIT_TEST(unansweredStartIsCancelled);
    CPPUNIT_TEST(cancelledStartThatRanIsReportedAsEnded);
    CPPUNIT_TEST(renewsOnlyWithAuthority);
    CPPUNIT_TEST(lapsedLeaseEndsRuns);
    CPPUNIT_TEST(silentWorkerIsReportedAndLapses);
    CPPUNIT_TEST(runsOfFormerIncarnationKeepTheirLease);
    CPPUNIT_TEST(slowWorkerGetsLongerTimeouts);
    CPPUNIT_TEST(acknowledgesOnlyRecordedEnds);
    CPPUNIT_TEST(repeatsAcknowledgementAfterLostHold);
    CPPUNIT_TEST(numbersOfEndsMayBeginAnywhere);
    CPPUNIT_TEST(oddEndNumberHidesNoOtherEnd);
    CPPUNIT_TEST(oddEndNumberInAListOfItsOwnHidesNoOtherEnd);
    CPPUNIT_TEST(gapInTheNumbersOfEndsIsAcknowledged);
    CPPUNIT_TEST(oddSequenceHidesNoLaterHeartbeat);
    CPPUNIT_TEST(oddStartTimeHidesTheWorkerOnlyUntilItsNextList);
    CPPUNIT_TEST(startsNothingOnDrainingWorker);
    CPPUNIT_TEST(stoppingAgentLetsRunsEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against runs that go on after their owner has been replaced: each start carries the owner's epoch and the end of the lease.
    void startsWithFenceAndLease()
    {
        AgentHarness agent;
        agent.begin(4);
        agent.orders(4, {startOf(runOf(7))});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), agent.starts[0].fence >> fenceTimeBits);
        const auto clock = std::chrono::duration_cast<std::chrono::milliseconds>(agent.now()) + 5000ms;
        CPPUNIT_ASSERT(agent.starts[0].until <= clock + Jobs::workerLease);
        CPPUNIT_ASSERT(agent.starts[0].until > clock + 500ms);
    }

    /// Guards against carrying out a start whose orders echo an old token, as those of an owner whose process was suspended do.
    void refusesOldOrders()
    {
        AgentHarness agent;
        agent.begin();
        Jobs::OwnerOrders orders;
        orders.epoch = 1;
        orders.number = 50;
        orders.workerStartTimeMs = firstStartTimeMs;
        orders.echo = std::chrono::duration_cast<std::chrono::milliseconds>(agent.now() - Jobs::maxTokenAgeForStart - 10ms).count();
        orders.starts = {startOf(runOf(7))};
        agent.feed(OrdersArrived{entry, orders});
        CPPUNIT_ASSERT(agent.starts.empty());
        CPPUNIT_ASSERT(agent.reported([](const auto &report) { return report.refusals.size() == 1; }));
    }

    /// Guards against obeying a former owner. The answer with the higher epoch makes it step down.
    void ignoresLowerEpoch()
    {
        AgentHarness agent;
        agent.begin(4);
        agent.orders(3, {startOf(runOf(7))}, {}, "2");
        CPPUNIT_ASSERT(agent.starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), agent.reports.back().entry);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), agent.reports.back().report.epoch);
    }

    /// Guards against a late order of the former owner that the worker still obeys, as it has not seen the new epoch yet: the full report
    /// waits for lists that were read under it.
    void readsListsUnderTheNewFence()
    {
        AgentHarness agent;
        agent.begin(1);
        const std::size_t before = agent.reports.size();
        agent.orders(2, {}, {}, "2");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), agent.holds.back().fence >> fenceTimeBits);
        CPPUNIT_ASSERT(std::none_of(
            agent.reports.begin() + static_cast<std::ptrdiff_t>(before), agent.reports.end(), [](const auto &report) { return report.report.full; }));
        agent.answerHold();
        CPPUNIT_ASSERT(agent.reports.back().report.full);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), agent.reports.back().report.epoch);
    }

    /// Guards against a full report with lists that were requested under the former epoch and arrive after the change of owner.
    void listUnderFormerFenceDoesNotCount()
    {
        AgentHarness agent;
        agent.begin(1);
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        const std::uint64_t formerNumber = agent.holds.back().number;
        const std::size_t before = agent.reports.size();
        agent.orders(2, {}, {}, "2");
        HoldAnswered answer;
        answer.answered = true;
        answer.workerStartTimeMs = firstStartTimeMs;
        answer.number = formerNumber;
        agent.feed(answer);
        CPPUNIT_ASSERT(std::none_of(
            agent.reports.begin() + static_cast<std::ptrdiff_t>(before), agent.reports.end(), [](const auto &report) { return report.report.full; }));
    }

    /// Guards against a new owner that starts a task a second time because its start call is still in progress.
    void fullReportNamesStartsInProgress()
    {
        AgentHarness agent;
        agent.begin(1);
        agent.orders(1, {startOf(runOf(7))});
        agent.orders(2, {}, {}, "2");
        agent.answerHold();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.lastFull().running.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1000), agent.lastFull().running[0].need.cpuMilli);
    }

    /// Guards against a second run elsewhere while the worker may still carry out the first start call, which got no response. The refusal
    /// is reported only after a stop call was answered and a newer list lacks the run.
    void unansweredStartIsCancelled()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.feed(StartAnswered{runOf(7), firstStartTimeMs, StartAnswered::Outcome::NoAnswer, {}, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.stops.size());
        const auto refused = [](const Jobs::AgentReport &report) { return !report.refusals.empty(); };
        agent.answerHold();
        CPPUNIT_ASSERT(!agent.reported(refused));
        agent.feed(StopAnswered{runOf(7), firstStartTimeMs, true});
        agent.answerHold();
        CPPUNIT_ASSERT(!agent.reported(refused) || agent.holds.size() > 2);
        agent.advance(10ms);
        agent.answerHold();
        CPPUNIT_ASSERT(agent.reported(refused));
    }

    /// Guards against a run that counts as never started although the worker had started it before the start was cancelled.
    void cancelledStartThatRanIsReportedAsEnded()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.feed(StartAnswered{runOf(7), firstStartTimeMs, StartAnswered::Outcome::NoAnswer, {}, {}});
        agent.feed(StopAnswered{runOf(7), firstStartTimeMs, true});
        agent.answerHold({}, {{1, runOf(7), Jobs::RunOutcome::Stopped, 0}});
        CPPUNIT_ASSERT(agent.reported([](const auto &report) { return report.ends.size() == 1 && report.ends[0].outcome == Jobs::RunOutcome::Stopped; }));
        CPPUNIT_ASSERT(!agent.reported([](const auto &report) { return !report.refusals.empty(); }));
    }

    /// Guards against runs that go on without an owner while a new owner starts their tasks elsewhere: without a recent token the worker's
    /// lease isn't renewed.
    void renewsOnlyWithAuthority()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        agent.answerHold({{runOf(7), 1}});
        CPPUNIT_ASSERT(agent.holds.back().until.has_value());
        agent.advance(Jobs::maxTokenAgeForRenewal + 10ms);
        agent.answerHold({{runOf(7), 2}});
        CPPUNIT_ASSERT(!agent.holds.back().until.has_value());
    }

    /// Guards against runs that stay listed forever on a worker that does not answer.
    void lapsedLeaseEndsRuns()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        agent.orders(1);
        const auto lapsed = [](const Jobs::AgentReport &report) { return !report.ends.empty() && report.ends[0].outcome == Jobs::RunOutcome::Lapsed; };
        agent.advance(Jobs::workerLease);
        CPPUNIT_ASSERT(!agent.reported(lapsed));
        agent.advance(Jobs::workerLease);
        CPPUNIT_ASSERT(agent.reported(lapsed));
    }

    /// Guards against tasks that wait for an unreachable worker: calls that may not reach it must not count as renewals of its lease.
    void silentWorkerIsReportedAndLapses()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        const auto silent = [](const Jobs::AgentReport &report) { return report.workerSilent; };
        const auto lapsed = [](const Jobs::AgentReport &report) { return !report.ends.empty() && report.ends[0].outcome == Jobs::RunOutcome::Lapsed; };
        Base::Duration waited{};
        while (waited < 2 * Jobs::workerLease && !agent.reported(lapsed)) {
            HoldAnswered lost;
            lost.number = agent.holds.back().number;
            lost.calledAt = agent.holds.back().calledAt;
            agent.orders(1);
            agent.advance(100ms);
            agent.feed(lost);
            waited += 100ms;
        }
        CPPUNIT_ASSERT(agent.reported(silent));
        CPPUNIT_ASSERT(agent.reported(lapsed));
    }

    /// Guards against runs that a restarted agent finds on the worker and reports as lapsed at once.
    void runsOfFormerIncarnationKeepTheirLease()
    {
        AgentHarness agent;
        agent.heartbeat();
        // Orders without a token of this incarnation don't allow renewing the lease.
        Jobs::OwnerOrders first;
        first.epoch = 2;
        first.number = 1;
        agent.feed(OrdersArrived{entry, first});
        agent.answerHold({{runOf(7), 40}});
        CPPUNIT_ASSERT(!agent.holds.back().until.has_value());
        agent.advance(10ms);
        CPPUNIT_ASSERT(!agent.reported([](const auto &report) { return !report.ends.empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.lastFull().running.size());
        agent.orders(2);
        agent.answerHold({{runOf(7), 41}});
        CPPUNIT_ASSERT(agent.holds.back().until.has_value());
    }

    /// Guards against starts that are cancelled again and again because the worker answers slowly.
    void slowWorkerGetsLongerTimeouts()
    {
        AgentHarness agent;
        agent.begin();
        for (Jobs::JobId job = 1; job <= 20; ++job) {
            agent.orders(1, {startOf(runOf(job))});
            agent.advance(35ms);
            agent.answerStart(runOf(job));
        }
        CPPUNIT_ASSERT(agent.starts.front().timeout == minCallTimeout);
        CPPUNIT_ASSERT(agent.starts.back().timeout > 150ms);
    }

    /// Guards against ends that the worker drops before the owner has recorded them.
    void acknowledgesOnlyRecordedEnds()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        agent.answerHold({}, {{1, runOf(7), Jobs::RunOutcome::Done, 0}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), agent.holds.back().endsAckedToWorker);
        Jobs::OwnerOrders orders;
        orders.epoch = 1;
        orders.echo = std::chrono::duration_cast<std::chrono::milliseconds>(agent.now()).count();
        orders.workerStartTimeMs = firstStartTimeMs;
        orders.endsRecorded = 1;
        agent.feed(OrdersArrived{entry, orders});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), agent.holds.back().endsAckedToWorker);
    }

    /// Guards against an end that is never acknowledged because the hold call with its acknowledgement was lost.
    void repeatsAcknowledgementAfterLostHold()
    {
        AgentHarness agent;
        agent.begin();
        Jobs::OwnerOrders orders;
        orders.epoch = 1;
        orders.workerStartTimeMs = firstStartTimeMs;
        orders.endsRecorded = 3;
        agent.feed(OrdersArrived{entry, orders});
        HoldAnswered lost;
        lost.number = agent.holds.back().number;
        agent.feed(lost);
        const std::size_t before = agent.holds.size();
        agent.advance(holdRetryDelay + 1ms);
        CPPUNIT_ASSERT_EQUAL(before + 1, agent.holds.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), agent.holds.back().endsAckedToWorker);
    }

    /// Guards against an owner that waits for ends which were acknowledged to the worker before the agent was restarted.
    void numbersOfEndsMayBeginAnywhere()
    {
        AgentHarness agent;
        agent.heartbeat();
        agent.orders(1);
        agent.answerHold({}, {{58, runOf(7), Jobs::RunOutcome::Done, 0}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(57), agent.lastFull().endsAcknowledged);
    }

    /// Guards against ends that are ignored because one row of the list has a number that is zero or far above the others.
    void oddEndNumberHidesNoOtherEnd()
    {
        for (const std::uint64_t odd : {std::uint64_t(0), std::uint64_t(1'000'000), UINT64_MAX}) {
            AgentHarness agent;
            agent.begin();
            agent.orders(1, {startOf(runOf(7))});
            agent.answerStart(runOf(7));
            agent.answerHold({}, {{odd, runOf(9), Jobs::RunOutcome::Done, 0}, {1, runOf(7), Jobs::RunOutcome::Done, 0}});
            const auto isReported = [](const auto &report) {
                return std::any_of(report.ends.begin(), report.ends.end(), [](const Jobs::RunEnd &end) { return end.number == 1 && end.run == runOf(7); });
            };
            CPPUNIT_ASSERT_MESSAGE(std::to_string(odd), agent.reported(isReported));
        }
    }

    /// Guards against tasks that never end for the owner because one list has a single row with a number far above the worker's own, which makes
    /// all later ends look recorded.
    void oddEndNumberInAListOfItsOwnHidesNoOtherEnd()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        agent.answerHold({{runOf(7), 40}}, {{1'000'000, runOf(9), Jobs::RunOutcome::Done, 0}});
        agent.answerHold({}, {{1, runOf(7), Jobs::RunOutcome::Done, 0}});
        const auto isReported = [](const auto &report) {
            return std::any_of(report.ends.begin(), report.ends.end(), [](const Jobs::RunEnd &end) { return end.number == 1 && end.run == runOf(7); });
        };
        CPPUNIT_ASSERT(agent.reported(isReported));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), agent.state.endsRecorded);
    }

    /// Guards against ends that are never acknowledged because numbers before them are missing: no row of the list with such a number could be
    /// read, or they were acknowledged before the agent was restarted. The worker has no other run, so no other call shows the list again.
    void gapInTheNumbersOfEndsIsAcknowledged()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        agent.answerHold({}, {{58, runOf(7), Jobs::RunOutcome::Done, 0}});
        if (agent.state.endsRecorded < 57) {
            CPPUNIT_ASSERT(agent.state.holdInProgress);
            agent.answerHold({}, {{58, runOf(7), Jobs::RunOutcome::Done, 0}});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(57), agent.state.endsRecorded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.state.ends.size());
    }

    /// Guards against a worker that is no longer heard because another writer sent a heartbeat with a number far above its own.
    void oddSequenceHidesNoLaterHeartbeat()
    {
        AgentHarness agent;
        agent.begin();
        agent.heartbeat(40);
        agent.heartbeat(static_cast<std::uint64_t>(INT64_MAX));
        agent.heartbeat(41, firstStartTimeMs, true);
        CPPUNIT_ASSERT(agent.state.worker->draining);
    }

    /// Guards against a worker that is no longer heard because another writer sent a heartbeat with a later start time.
    void oddStartTimeHidesTheWorkerOnlyUntilItsNextList()
    {
        AgentHarness agent;
        agent.begin();
        agent.heartbeat(1, INT64_MAX);
        agent.answerHold();
        agent.heartbeat(2, firstStartTimeMs, true);
        CPPUNIT_ASSERT_EQUAL(firstStartTimeMs, agent.state.worker->startTimeMs);
        CPPUNIT_ASSERT(agent.state.worker->draining);
    }

    /// Guards against new runs on a worker that has announced its shutdown.
    void startsNothingOnDrainingWorker()
    {
        AgentHarness agent;
        agent.begin();
        agent.heartbeat(2, firstStartTimeMs, true);
        agent.orders(1, {startOf(runOf(7))});
        CPPUNIT_ASSERT(agent.starts.empty());
    }

    /// Guards against runs that are aborted by a planned restart of their agent.
    void stoppingAgentLetsRunsEnd()
    {
        AgentHarness agent;
        agent.begin();
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        agent.feed(StopRequested{});
        CPPUNIT_ASSERT(agent.reported([](const auto &report) { return report.worker && report.worker->draining; }));
        CPPUNIT_ASSERT(!isIdle(agent.state));
        agent.orders(1, {startOf(runOf(8))});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), agent.starts.size());
        agent.answerHold({}, {{1, runOf(7), Jobs::RunOutcome::Done, 0}});
        Jobs::OwnerOrders orders;
        orders.epoch = 1;
        orders.workerStartTimeMs = firstStartTimeMs;
        orders.endsRecorded = 1;
        agent.feed(OrdersArrived{entry, orders});
        agent.answerHold();
        CPPUNIT_ASSERT(isIdle(agent.state));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTaskAgent);
