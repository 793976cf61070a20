#include "scheduleplays.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow::ClusterTest;

/// Guards against two owners that can both start a task when partitions separate agents as well.
class TestAgentPartitionSchedules : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAgentPartitionSchedules);
    CPPUNIT_TEST(threeEntriesAndAgentsPartitioned);
    CPPUNIT_TEST(fiveEntriesAndAgentsPartitioned);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a successor that takes the tasks of agents which it can't reach, and which stay with the former owner, for never started.
    void threeEntriesAndAgentsPartitioned()
    {
        runSeeds(3, Partitions::EntriesAndAgents);
    }

    /// As above, with sides of several entries.
    void fiveEntriesAndAgentsPartitioned()
    {
        runSeeds(5, Partitions::EntriesAndAgents);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAgentPartitionSchedules);
