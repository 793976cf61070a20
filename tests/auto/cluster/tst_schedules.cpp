#include "scheduleplays.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow::ClusterTest;

/// Guards against two owners that can both start a task, without partitions.
class TestSchedules : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSchedules);
    CPPUNIT_TEST(twoEntries);
    CPPUNIT_TEST(threeEntries);
    CPPUNIT_TEST(fiveEntries);
    CPPUNIT_TEST_SUITE_END();

public:
    void twoEntries()
    {
        runSeeds(2, Partitions::None);
    }

    void threeEntries()
    {
        runSeeds(3, Partitions::None);
    }

    void fiveEntries()
    {
        runSeeds(5, Partitions::None);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSchedules);
