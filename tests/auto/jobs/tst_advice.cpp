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

SubmitCall advised(JobId id, std::uint32_t tasks)
{
    SubmitCall call = submission(id, tasks);
    call.rules.advice = adviceRules;
    return call;
}

/// An owner with workers and the advice service, which finds only some of the workers good.
class AdvisedOwner : public OwnerHarness
{
public:
    explicit AdvisedOwner(std::uint32_t workers) : OwnerHarness(names(workers))
    {
        for (const std::string &name : names(workers)) {
            join(name);
        }
    }

    /// Hands the job in and lets it be recorded.
    void accept(JobId job, std::uint32_t tasks)
    {
        submit(job, advised(job, tasks));
        while (commit()) {
            passWithReports(commitInterval);
        }
    }

    /// Answers the last call with the workers of these agents as the good ones.
    void advise(const std::set<std::string> &good)
    {
        AdviceGiven given{asked.back().number, true, {}, std::nullopt};
        for (const std::string &worker : asked.back().workers) {
            if (good.contains(worker)) {
                given.tickets.emplace_back(worker, "ticket-" + worker);
            }
        }
        feed(given);
    }

    static std::string workerOf(const std::string &agent)
    {
        return "worker-" + agent;
    }

private:
    static std::vector<std::string> names(std::uint32_t workers)
    {
        std::vector<std::string> list;
        for (std::uint32_t i = 1; i <= workers; ++i) {
            list.push_back("agent-" + std::to_string(i));
        }
        return list;
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
    /// Guards against starts on workers that may not run the step, which they turn away.
    void startsOnlyWithTickets()
    {
        AdvisedOwner owner(3);
        owner.accept(7, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.allStarts());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.asked.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.asked.back().workers.size());
        owner.advise({AdvisedOwner::workerOf("agent-2")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.startsAt("agent-2").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.allStarts());
        CPPUNIT_ASSERT_EQUAL("ticket-" + AdvisedOwner::workerOf("agent-2"), owner.ticketOf(owner.startsAt("agent-2").at(0)));
    }

    /// Guards against a call for each task or each start, as the service is slow.
    void asksOnceForAStep()
    {
        AdvisedOwner owner(2);
        owner.accept(7, 1);
        owner.advise({AdvisedOwner::workerOf("agent-1"), AdvisedOwner::workerOf("agent-2")});
        const bool onFirst = !owner.startsAt("agent-1").empty();
        owner.end(onFirst ? "agent-1" : "agent-2", owner.startsAt(onFirst ? "agent-1" : "agent-2").at(0), RunOutcome::Failed);
        owner.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.allStarts());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.asked.size());
    }

    /// Guards against calls that fill the queue of the service.
    void oneCallAtATime()
    {
        AdvisedOwner owner(2);
        for (JobId job = 1; job <= 5; ++job) {
            owner.accept(job, 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.asked.size());
        owner.advise({AdvisedOwner::workerOf("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.asked.size());
        CPPUNIT_ASSERT(owner.asked[0].step.job != owner.asked[1].step.job);
    }

    /// Guards against a step that waits for ever as the first workers asked about may not run it, and against long calls.
    void asksAboutOthersIfNoneIsGood()
    {
        AdvisedOwner owner(12);
        owner.accept(7, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1 + adviceSpareWorkers), owner.asked.back().workers.size());
        const std::vector<std::string> first = owner.asked.back().workers;
        owner.advise({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.asked.size());
        for (const std::string &worker : owner.asked.back().workers) {
            CPPUNIT_ASSERT(std::find(first.begin(), first.end(), worker) == first.end());
        }
        owner.advise({});
        owner.advise({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.asked.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.allStarts());
    }

    /// Guards against starts with tickets that workers take no more, also if the answer was long on its way.
    void asksAgainWhenTicketsEnd()
    {
        AdvisedOwner owner(1);
        owner.accept(7, 1);
        owner.advise({AdvisedOwner::workerOf("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.allStarts());
        owner.passWithReports(std::chrono::milliseconds(adviceRules.validMs));
        owner.end("agent-1", owner.startsAt("agent-1").at(0), RunOutcome::Lapsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.allStarts());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.asked.size());
        owner.passWithReports(std::chrono::milliseconds(adviceRules.validMs));
        owner.advise({AdvisedOwner::workerOf("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.allStarts());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.asked.size());
    }

    /// Guards against a task that is sent to one worker again and again with a ticket that it does not take, and against a sound
    /// worker that is suspended for it.
    void refusedTicketsAreDropped()
    {
        AdvisedOwner owner(1);
        owner.accept(7, 1);
        owner.advise({AdvisedOwner::workerOf("agent-1")});
        AgentReport report = owner.report("agent-1");
        report.refusals.push_back({owner.startsAt("agent-1").at(0), RunRefusal::Reason::NoTicket});
        owner.feed(AgentReported{"agent-1", report});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.allStarts());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.asked.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), owner.state.agents[0].health.failures);
        owner.advise({AdvisedOwner::workerOf("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.allStarts());
    }

    /// Guards against a ticket of a former worker at the same address, and against one that is never used as it came later.
    void newWorkersAreAskedAbout()
    {
        AdvisedOwner owner(1);
        owner.accept(7, 1);
        owner.advise({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.asked.size());
        AgentReport report = owner.report("agent-1");
        report.full = true;
        report.worker = owner.state.agents[0].worker;
        ++report.worker->startTimeMs;
        owner.feed(AgentReported{"agent-1", report});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.asked.size());
        owner.advise({AdvisedOwner::workerOf("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.allStarts());
    }

    /// Guards against a "no" for a former worker that keeps the next one at its address out for good.
    void answersAreForTheWorkerAskedAbout()
    {
        AdvisedOwner owner(1);
        owner.accept(7, 1);
        AgentReport report = owner.report("agent-1");
        report.full = true;
        report.worker = owner.state.agents[0].worker;
        ++report.worker->startTimeMs;
        owner.feed(AgentReported{"agent-1", report});
        owner.advise({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.asked.size());
    }

    /// Guards against calls without pause to a service that is full or down, and against one that is never called again.
    void waitsAfterFailedCalls()
    {
        AdvisedOwner owner(1);
        owner.accept(7, 1);
        owner.feed(AdviceGiven{owner.asked.back().number, false, {}, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.asked.size());
        CPPUNIT_ASSERT(nextDue(owner.state).value() <= owner.state.now + adviceRetryDelayInitial);
        owner.passWithReports(adviceRetryDelayInitial + 20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.asked.size());
        owner.feed(AdviceGiven{owner.asked.back().number, false, {}, {}});
        owner.passWithReports(adviceRetryDelayInitial + 20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), owner.asked.size());
        owner.passWithReports(adviceRetryDelayInitial + 20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), owner.asked.size());
    }

    /// Guards against memory that grows with every job, and against an answer for a job that has been cancelled.
    void forgetsWithTheJob()
    {
        AdvisedOwner owner(1);
        owner.accept(7, 1);
        owner.feed(CallArrived{2, CancelCall{7}});
        owner.settle();
        owner.advise({AdvisedOwner::workerOf("agent-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.allStarts());
        owner.accept(8, 1);
        owner.advise({AdvisedOwner::workerOf("agent-1")});
        owner.end("agent-1", owner.startsAt("agent-1").at(0), RunOutcome::Done);
        owner.settle();
        CPPUNIT_ASSERT(owner.state.advice.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdvice);
