#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

constexpr AdviceRules adviceRules{20, 5, 3000};

SubmitCall advisedSubmission(JobId id, std::uint32_t tasks)
{
    SubmitCall call = submission(id, tasks);
    call.rules.advice = adviceRules;
    return call;
}

/// An owner with workers and an advice service that approves only some of the workers.
class AdvisedOwner : public OwnerHarness
{
public:
    explicit AdvisedOwner(std::uint32_t workers) : OwnerHarness(agentNames(workers))
    {
        for (const std::string &name : agentNames(workers)) {
            join(name);
        }
    }

    /// Submits the job and lets its commits succeed.
    void submitAndCommit(JobId job, std::uint32_t tasks)
    {
        submit(job, advisedSubmission(job, tasks));
        while (commit()) {
            advanceTimeWithReports(commitInterval);
        }
    }

    /// Answers the last call with tickets for the approved workers.
    void giveAdvice(const std::set<std::string> &approved)
    {
        AdviceGiven given{adviceRequests.back().number, true, {}, std::nullopt};
        for (const std::string &worker : adviceRequests.back().workers) {
            if (approved.contains(worker)) {
                given.tickets.emplace_back(worker, "ticket-" + worker);
            }
        }
        feed(given);
    }

    static std::string workerId(const std::string &agent)
    {
        return "worker-" + agent;
    }

private:
    static std::vector<std::string> agentNames(std::uint32_t workers)
    {
        std::vector<std::string> names;
        for (std::uint32_t i = 1; i <= workers; ++i) {
            names.push_back("agent-" + std::to_string(i));
        }
        return names;
    }
};

} // namespace

class TestAdvice : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAdvice);
    CPPUNIT_TEST(startsOnlyWithTickets);
    CPPUNIT_TEST(asksOnceForAStep);
    CPPUNIT_TEST(oneCallAtATime);
    CPPUNIT_TEST(asksAboutOthersIfNoneIsGood);
    CPPUNIT_TEST(asksAgainWhenTicketsEnd);
    CPPUNIT_TEST(refusedTicketsAreDropped);
    CPPUNIT_TEST(newWorkersAreAskedAbout);
    CPPUNIT_TEST(answersAreForTheWorkerAskedAbout);
    CPPUNIT_TEST(waitsAfterFailedCalls);
    CPPUNIT_TEST(forgetsWithTheJob);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against starts on workers that the advice service has not approved for the step and that refuse them.
    void startsOnlyWithTickets()
    {
        AdvisedOwner owner(3);
        owner.submitAndCommit(7, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.adviceRequests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.adviceRequests.back().workers.size());
        owner.giveAdvice({AdvisedOwner::workerId("agent-2")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStarts("agent-2").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL("ticket-" + AdvisedOwner::workerId("agent-2"), owner.orderedTicket(owner.orderedStarts("agent-2").at(0)));
    }

    /// Guards against a call for each task or each start: the service is slow, and one answer holds for all runs of the step.
    void asksOnceForAStep()
    {
        AdvisedOwner owner(2);
        owner.submitAndCommit(7, 1);
        owner.giveAdvice({AdvisedOwner::workerId("agent-1"), AdvisedOwner::workerId("agent-2")});
        const bool onFirst = !owner.orderedStarts("agent-1").empty();
        owner.reportEnd(onFirst ? "agent-1" : "agent-2", owner.orderedStarts(onFirst ? "agent-1" : "agent-2").at(0), RunOutcome::Failed);
        owner.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.adviceRequests.size());
    }

    /// Guards against concurrent calls that fill the queue of the service.
    void oneCallAtATime()
    {
        AdvisedOwner owner(2);
        for (JobId job = 1; job <= 5; ++job) {
            owner.submitAndCommit(job, 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.adviceRequests.size());
        owner.giveAdvice({AdvisedOwner::workerId("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.adviceRequests.size());
        CPPUNIT_ASSERT(owner.adviceRequests[0].step.job != owner.adviceRequests[1].step.job);
    }

    /// Guards against a step that waits for ever because none of the first workers asked about may run it, and against calls
    /// that name all workers at once.
    void asksAboutOthersIfNoneIsGood()
    {
        AdvisedOwner owner(12);
        owner.submitAndCommit(7, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1 + adviceSpareWorkers), owner.adviceRequests.back().workers.size());
        const std::vector<std::string> first = owner.adviceRequests.back().workers;
        owner.giveAdvice({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.adviceRequests.size());
        for (const std::string &worker : owner.adviceRequests.back().workers) {
            CPPUNIT_ASSERT(std::find(first.begin(), first.end(), worker) == first.end());
        }
        owner.giveAdvice({});
        owner.giveAdvice({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.adviceRequests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
    }

    /// Guards against starts with expired tickets, which workers refuse, also when a ticket expires before the answer arrives.
    void asksAgainWhenTicketsEnd()
    {
        AdvisedOwner owner(1);
        owner.submitAndCommit(7, 1);
        owner.giveAdvice({AdvisedOwner::workerId("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        owner.advanceTimeWithReports(std::chrono::milliseconds(adviceRules.validMs));
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Lapsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.adviceRequests.size());
        owner.advanceTimeWithReports(std::chrono::milliseconds(adviceRules.validMs));
        owner.giveAdvice({AdvisedOwner::workerId("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.adviceRequests.size());
    }

    /// Guards against a task that is started on one worker over and over with a ticket that the worker refuses, and against
    /// suspending a healthy worker for these refusals.
    void refusedTicketsAreDropped()
    {
        AdvisedOwner owner(1);
        owner.submitAndCommit(7, 1);
        owner.giveAdvice({AdvisedOwner::workerId("agent-1")});
        AgentReport report = owner.report("agent-1");
        report.refusals.push_back({owner.orderedStarts("agent-1").at(0), RunRefusal::Reason::NoTicket});
        owner.feed(AgentReported{"agent-1", report});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.adviceRequests.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), owner.state.agents[0].health.failures);
        owner.giveAdvice({AdvisedOwner::workerId("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.orderedStartCount());
    }

    /// Guards against applying the advice on a former worker to its successor at the same address, and against a worker that is
    /// never used because it came after the call.
    void newWorkersAreAskedAbout()
    {
        AdvisedOwner owner(1);
        owner.submitAndCommit(7, 1);
        owner.giveAdvice({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.adviceRequests.size());
        AgentReport report = owner.report("agent-1");
        report.full = true;
        report.worker = owner.state.agents[0].worker;
        ++report.worker->startTimeMs;
        owner.feed(AgentReported{"agent-1", report});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.adviceRequests.size());
        owner.giveAdvice({AdvisedOwner::workerId("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStartCount());
    }

    /// Guards against a negative answer that arrives after the worker was replaced and excludes its successor at the same
    /// address for good.
    void answersAreForTheWorkerAskedAbout()
    {
        AdvisedOwner owner(1);
        owner.submitAndCommit(7, 1);
        AgentReport report = owner.report("agent-1");
        report.full = true;
        report.worker = owner.state.agents[0].worker;
        ++report.worker->startTimeMs;
        owner.feed(AgentReported{"agent-1", report});
        owner.giveAdvice({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.adviceRequests.size());
    }

    /// Guards against calls without delay to a service that is full or down, and against never calling it again.
    void waitsAfterFailedCalls()
    {
        AdvisedOwner owner(1);
        owner.submitAndCommit(7, 1);
        owner.feed(AdviceGiven{owner.adviceRequests.back().number, false, {}, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.adviceRequests.size());
        CPPUNIT_ASSERT(nextDue(owner.state).value() <= owner.state.now + adviceRetryDelayInitial);
        owner.advanceTimeWithReports(adviceRetryDelayInitial + 20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.adviceRequests.size());
        owner.feed(AdviceGiven{owner.adviceRequests.back().number, false, {}, {}});
        owner.advanceTimeWithReports(adviceRetryDelayInitial + 20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.adviceRequests.size());
        owner.advanceTimeWithReports(adviceRetryDelayInitial + 20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.adviceRequests.size());
    }

    /// Guards against advice that is kept after its job has ended, so that memory grows with every job, and against starts by
    /// an answer that arrives after the job was cancelled.
    void forgetsWithTheJob()
    {
        AdvisedOwner owner(1);
        owner.submitAndCommit(7, 1);
        owner.feed(CallArrived{2, CancelCall{7}});
        owner.commitAll();
        owner.giveAdvice({AdvisedOwner::workerId("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.submitAndCommit(8, 1);
        owner.giveAdvice({AdvisedOwner::workerId("agent-1")});
        owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
        owner.commitAll();
        CPPUNIT_ASSERT(owner.state.advice.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdvice);
