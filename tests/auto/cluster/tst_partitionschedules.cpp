#include "scheduleplays.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow::ClusterTest;

/// Guards against two owners that can both start a task, and against partitions that stay without an owner.
class TestPartitionSchedules : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPartitionSchedules);
    CPPUNIT_TEST(threeEntriesPartitioned);
    CPPUNIT_TEST(fiveEntriesPartitioned);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a former owner without the store that goes on with the majority of its side beside a successor on the store's side.
    void threeEntriesPartitioned()
    {
        runSeeds(3, Partitions::Entries);
    }

    /// As above, with sides of several entries.
    void fiveEntriesPartitioned()
    {
        runSeeds(5, Partitions::Entries);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPartitionSchedules);
