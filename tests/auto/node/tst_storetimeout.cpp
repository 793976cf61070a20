#include "../../../src/app/laburnumnode/nodeconstants.h"
#include "../../../src/app/laburnumnode/storetimeout.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Node;
using namespace std::chrono_literals;

namespace {

constexpr int calls = 40;
constexpr Base::Duration fastResponse = 2ms;

} // namespace

class TestStoreTimeout : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreTimeout);
    CPPUNIT_TEST(brokenConnectionsDoNotRaiseIt);
    CPPUNIT_TEST(callsThatTimeOutRaiseIt);
    CPPUNIT_TEST(callThatEndsRightBeforeItsTimeoutRaisesIt);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against waiting 1 s for each lost response of a fast store because it has reset some connections within milliseconds.
    void brokenConnectionsDoNotRaiseIt()
    {
        StoreTimeout timeout;
        const Base::Duration before = timeout.current();
        for (int call = 0; call < calls; ++call) {
            timeout.handleNoResponse(fastResponse, timeout.current());
            CPPUNIT_ASSERT(timeout.current() <= before);
            timeout.handleResponse(fastResponse);
        }
        CPPUNIT_ASSERT(timeout.current() == minStoreTimeout);
    }

    /// Guards against calls to a slow store that time out and are repeated forever.
    void callsThatTimeOutRaiseIt()
    {
        StoreTimeout timeout;
        for (int call = 0; call < calls && timeout.current() < maxStoreTimeout; ++call) {
            const Base::Duration before = timeout.current();
            timeout.handleNoResponse(before, before);
            CPPUNIT_ASSERT(timeout.current() > before);
        }
        CPPUNIT_ASSERT(timeout.current() == maxStoreTimeout);
    }

    /// Guards against the same because the call's timer counts whole milliseconds and so ends a little earlier.
    void callThatEndsRightBeforeItsTimeoutRaisesIt()
    {
        StoreTimeout timeout;
        const Base::Duration before = timeout.current();
        timeout.handleNoResponse(before - 1ms, before);
        CPPUNIT_ASSERT(timeout.current() > before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreTimeout);
