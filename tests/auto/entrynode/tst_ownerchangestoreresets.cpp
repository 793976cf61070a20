#include "modelplays.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode::Testing;

namespace {

constexpr std::uint64_t seeds = 300;
constexpr Base::Duration simulatedTime = 20s;

} // namespace

/// Plays owner changes while the store resets connections after it has executed a call.
class OwnerChangeStoreResetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnerChangeStoreResetsTest);
    CPPUNIT_TEST(runsEachTaskOnceWhenTheStoreResetsConnections);
    CPPUNIT_TEST(runsEachTaskOnceWhenSecondSendingsAreRefused);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an entry that takes a claim, a commit or a write of its confirmers for one that wasn't executed, as it is told at once that the
    // outcome is unknown.
    void runsEachTaskOnceWhenTheStoreResetsConnections()
    {
        checkSeeds(resets(), seeds, simulatedTime);
    }

    // Guards against the same if the entry is told that the store has refused the call, which it had executed before.
    void runsEachTaskOnceWhenSecondSendingsAreRefused()
    {
        ModelOptions options = resets();
        options.secondSendingsRefused = true;
        checkSeeds(options, seeds, simulatedTime);
    }

    static ModelOptions resets()
    {
        ModelOptions options;
        options.storedJobs = true;
        options.storeResetShare = 0.3;
        return options;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerChangeStoreResetsTest);
