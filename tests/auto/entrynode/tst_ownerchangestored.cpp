#include "modelplays.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode::Testing;

namespace {

constexpr std::uint64_t seeds = 300;
constexpr Base::Duration simulatedTime = 30s;

} // namespace

/// Plays owner changes with stored jobs, whose acknowledged ends stand for good.
class OwnerChangeStoredTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnerChangeStoredTest);
    CPPUNIT_TEST(startsNoStoredTaskAfterItsAcknowledgedEnd);
    CPPUNIT_TEST(startsNoStoredTaskAfterItsAcknowledgedEndWhenCallsAreLate);
    CPPUNIT_TEST(acknowledgesNoEndOfARepeatedTaskAfterALongPartition);
    CPPUNIT_TEST(acknowledgesNoEndOfARepeatedTaskWhenAgentsRestart);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a former owner that starts a task whose end its successor has acknowledged.
    void startsNoStoredTaskAfterItsAcknowledgedEnd()
    {
        ModelOptions options;
        options.witnesses = Witnesses::WithFormerOwner;
        options.storedJobs = true;
        options.lateCommitShare = 0.05;
        checkSeeds(options, seeds, simulatedTime);
    }

    // Guards against the same while calls to workers are executed late.
    void startsNoStoredTaskAfterItsAcknowledgedEndWhenCallsAreLate()
    {
        ModelOptions options;
        options.storedJobs = true;
        options.lateCallShare = 0.1;
        checkSeeds(options, seeds, simulatedTime);
    }

    // Guards against an end whose agent was cut off for so long that its task was started again, and that is acknowledged afterwards.
    void acknowledgesNoEndOfARepeatedTaskAfterALongPartition()
    {
        ModelOptions options;
        options.witnesses = Witnesses::WithFormerOwner;
        options.partitionTime = {20s, 25s};
        options.storedJobs = true;
        options.lateCommitShare = 0.05;
        // OwnerChangeTest::runsEachTaskOnceInALongPartition checks the other rule.
        checkSeeds(options, seeds / 3, 60s, CheckedRules::AcknowledgedEnds);
    }

    // Guards against the same when agents and workers restart, also while a lease ends.
    void acknowledgesNoEndOfARepeatedTaskWhenAgentsRestart()
    {
        ModelOptions options;
        options.witnesses = Witnesses::WithFormerOwner;
        options.partitionTime = {20s, 25s};
        options.storedJobs = true;
        options.agentsRestart = true;
        options.workersRestart = true;
        checkSeeds(options, seeds / 3, 60s, CheckedRules::AcknowledgedEnds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerChangeStoredTest);
