#include "entrynode/attendance.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode;

class TestAttendance : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAttendance);
    CPPUNIT_TEST(callsOfGoneCallersAreDropped);
    CPPUNIT_TEST(cancellationsAreHandedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against jobs that are handed in although their callers have left, and may have cancelled them elsewhere.
    void callsOfGoneCallersAreDropped()
    {
        for (const Jobs::Call &call : {Jobs::Call(Jobs::SubmitCall{}), Jobs::Call(Jobs::QueryCall{7}), Jobs::Call(Jobs::CountCall{"queue"})}) {
            CPPUNIT_ASSERT(whyUnattended(call, {.callerGone = true}) == Unattended::CallerGone);
            CPPUNIT_ASSERT(!whyUnattended(call, {}));
        }
    }

    /// Guards against cancellations that are lost because their callers don't wait for the answer.
    void cancellationsAreHandedOn()
    {
        CPPUNIT_ASSERT(!whyUnattended(Jobs::CancelCall{7}, {.callerGone = true}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAttendance);
