#include "agentharness.h"

#include "jobs/jobsconstants.h"
#include "taskagent/taskagentconstants.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace LaburnumFlow;
using namespace LaburnumFlow::TaskAgent;
using namespace LaburnumFlow::TaskAgent::Testing;

/// Tests the lapse of the worker's lease before ends are acknowledged whose tasks have started again.
class TestLapse : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLapse);
    CPPUNIT_TEST(acknowledgesOnceTheLeaseHasEnded);
    CPPUNIT_TEST(startsNothingDuringTheLapse);
    CPPUNIT_TEST(lapsesOnce);
    CPPUNIT_TEST(newProcessDoesNotLapseWithoutTheEnds);
    CPPUNIT_TEST(newProcessAcknowledgesNothingBeforeALapse);
    CPPUNIT_TEST(restartedWorkerNeedsNoLapse);
    CPPUNIT_TEST(reportsTheFormerEpoch);
    CPPUNIT_TEST(ownerThatHasNotAnsweredIsNoFormerOne);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an end that counts for the platform although its task has started again.
    void acknowledgesOnceTheLeaseHasEnded()
    {
        AgentHarness agent;
        agent.begin();
        listEnd(agent);
        orderLapse(agent);
        const Base::MonoTime begun = agent.now();
        agent.answerHold({}, {doneEnd()});
        const std::size_t before = agent.holds.size();
        while (agent.holds.size() == before && agent.now() - begun < 3s) {
            agent.advance(20ms);
        }
        CPPUNIT_ASSERT(!agent.holds.back().until);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), agent.holds.back().endsAckedToWorker);
        CPPUNIT_ASSERT(agent.now() - begun > Jobs::workerLease);
        CPPUNIT_ASSERT(agent.now() - begun < 2 * Jobs::workerLease);
    }

    /// Guards against a start that renews the lease, and against an owner that sends more of them meanwhile.
    void startsNothingDuringTheLapse()
    {
        AgentHarness agent;
        agent.begin();
        listEnd(agent);
        orderLapse(agent);
        CPPUNIT_ASSERT(agent.reports.back().report.workerSilent);
        const std::size_t before = agent.starts.size();
        agent.orders(1, {startOf(runOf(8))});
        CPPUNIT_ASSERT_EQUAL(before, agent.starts.size());
        endLapse(agent);
        CPPUNIT_ASSERT(!agent.reports.back().report.workerSilent);
        agent.orders(1, {startOf(runOf(9))});
        CPPUNIT_ASSERT_EQUAL(before + 1, agent.starts.size());
    }

    /// Guards against a lease that ends again with each of the orders that repeat the number.
    void lapsesOnce()
    {
        AgentHarness agent;
        agent.begin();
        listEnd(agent);
        orderLapse(agent);
        endLapse(agent);
        orderLapse(agent);
        CPPUNIT_ASSERT(!agent.reports.back().report.workerSilent);
    }

    /// Guards against a lapse for ends that a former process of the agent has acknowledged.
    void newProcessDoesNotLapseWithoutTheEnds()
    {
        AgentHarness agent;
        agent.begin();
        orderLapse(agent);
        CPPUNIT_ASSERT(!agent.reported([](const auto &report) { return report.workerSilent; }));
    }

    /// Guards against an end that counts for the platform since the agent has started again during the lapse: the orders come before the first list.
    void newProcessAcknowledgesNothingBeforeALapse()
    {
        AgentHarness agent;
        agent.heartbeat();
        orderLapse(agent);
        CPPUNIT_ASSERT(agent.now() <= agent.state.leaseEndsAt);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), agent.holds.back().endsAckedToWorker);
        agent.answerHold({}, {doneEnd()});
        orderLapse(agent);
        agent.answerHold({}, {doneEnd()});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), agent.holds.back().endsAckedToWorker);
        endLapse(agent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), agent.holds.back().endsAckedToWorker);
    }

    /// Guards against a lapse that outlasts the worker whose ends it is for.
    void restartedWorkerNeedsNoLapse()
    {
        AgentHarness agent;
        agent.begin();
        listEnd(agent);
        orderLapse(agent);
        agent.heartbeat(1, firstStartTimeMs + 5000);
        agent.answerHold({}, {}, firstStartTimeMs + 5000);
        CPPUNIT_ASSERT(!agent.lastFull().workerSilent);
    }

    /// Guards against an owner that doesn't know that the agent has skipped the owner before it.
    void reportsTheFormerEpoch()
    {
        AgentHarness agent;
        agent.begin(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), agent.lastFull().formerEpoch);
        agent.orders(2);
        agent.orders(5, {}, {}, "2");
        agent.answerHold();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), agent.lastFull().formerEpoch);
    }

    /// Guards against an end that a third owner acknowledges without a lapse: the second one has started the task again, and is replaced before the agent
    /// hears from it that the end needs a lapse.
    void ownerThatHasNotAnsweredIsNoFormerOne()
    {
        AgentHarness agent;
        agent.begin(1);
        agent.orders(1);
        agent.orders(2, {}, {}, "2");
        agent.answerHold();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), agent.lastFull().formerEpoch);
        agent.orders(3, {}, {}, "3");
        agent.answerHold();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), agent.lastFull().formerEpoch);
    }

private:
    static Jobs::RunEnd doneEnd()
    {
        return {1, runOf(7), Jobs::RunOutcome::Done, 10};
    }

    /// Lets the worker list the end of a run.
    static void listEnd(AgentHarness &agent)
    {
        agent.orders(1, {startOf(runOf(7))});
        agent.answerStart(runOf(7));
        agent.answerHold({}, {doneEnd()});
    }

    /// Lets the owner record the end and ask for a lapse before it is acknowledged.
    static void orderLapse(AgentHarness &agent)
    {
        Jobs::OwnerOrders orders;
        orders.epoch = 1;
        orders.echo = std::chrono::duration_cast<std::chrono::milliseconds>(agent.now()).count();
        orders.workerStartTimeMs = firstStartTimeMs;
        orders.endsRecorded = 1;
        orders.endsToLapse = 1;
        agent.feed(OrdersArrived{entry, orders});
    }

    static void endLapse(AgentHarness &agent)
    {
        agent.advance(2 * Jobs::workerLease);
        agent.answerHold();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLapse);
