#include "ownerharness.h"

#include "jobs/jobsconstants.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

/// Tests submissions for queues that the owner's rules no longer have.
class TestWithdrawnQueues : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWithdrawnQueues);
    CPPUNIT_TEST(withdrawnQueueIsRefused);
    CPPUNIT_TEST(jobOfAWithdrawnQueueGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a queue that is in use again after it was withdrawn: an entry without the store forwards calls by rules of long ago.
    void withdrawnQueueIsRefused()
    {
        OwnerHarness owner({"agent"});
        owner.join("agent");
        owner.feed(RulesChanged{5, {queueRules("other")}});
        // Soon after a takeover a former owner may have run a best-effort job, so that it isn't refused.
        owner.advanceTimeWithReports(defaultCallerTimeout + defaultResubmitDelayMax + 100ms);
        for (const bool isBestEffort : {false, true}) {
            SubmitCall call = isBestEffort ? bestEffort(1, 1) : submission(1, 1);
            call.rulesVersion = 4;
            owner.submit(isBestEffort ? 1 : 2, call);
            CPPUNIT_ASSERT(owner.answerTo(isBestEffort ? 1 : 2)->kind == CallAnswer::Kind::UnknownQueue);
        }
        CPPUNIT_ASSERT(owner.state.jobs.empty());
    }

    /// Guards against an accepted job that is refused when its caller asks again after the queue was withdrawn.
    void jobOfAWithdrawnQueueGoesOn()
    {
        OwnerHarness owner({"agent"});
        owner.join("agent");
        owner.submit(1, submission(1, 1));
        owner.commitAll();
        owner.feed(RulesChanged{5, {queueRules("other")}});
        owner.submit(2, submission(1, 1));
        CPPUNIT_ASSERT(owner.answerTo(2)->kind == CallAnswer::Kind::Accepted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestWithdrawnQueues);
