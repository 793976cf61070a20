#include "runtime/dependencywatch.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Runtime;
using namespace std::chrono_literals;

class TestDependencyWatch : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDependencyWatch);
    CPPUNIT_TEST(reportsEachChangeOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a log line for every failed call of an outage, against an outage without a line, and against a line for a single lost response.
    void reportsEachChangeOnce()
    {
        DependencyWatch watch(500ms);
        CPPUNIT_ASSERT(!watch.answered(10s));
        CPPUNIT_ASSERT(!watch.failed(11s));
        CPPUNIT_ASSERT(!watch.answered(12s));
        CPPUNIT_ASSERT(!watch.failed(20s));
        CPPUNIT_ASSERT(!watch.failed(20s + 400ms));
        CPPUNIT_ASSERT(watch.failed(20s + 600ms));
        CPPUNIT_ASSERT(!watch.failed(25s));
        const auto lost = watch.answered(26s);
        CPPUNIT_ASSERT(lost && *lost == 6s);
        CPPUNIT_ASSERT(!watch.answered(27s));
        CPPUNIT_ASSERT(!watch.failed(28s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDependencyWatch);
