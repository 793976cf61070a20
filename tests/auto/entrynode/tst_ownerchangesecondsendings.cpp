#include "modelplays.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode::Testing;

namespace {

constexpr std::uint64_t seeds = 10;
constexpr std::uint64_t seedsOfRareFault = 100; ///< for a fault that shows in about one seed of eight
constexpr Base::Duration simulatedTime = 30s;

} // namespace

/// Plants second sendings, whose answers count as those of the only calls. Fails if the model does not see them.
class OwnerChangeSecondSendingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnerChangeSecondSendingsTest);
    CPPUNIT_TEST(seesASecondSendingThatIsRefused);
    CPPUNIT_TEST(seesASecondSendingThatCannotConnect);
    CPPUNIT_TEST(seesASecondSendingThatItsFenceBars);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a model that can't tell a client that sends calls twice from one that doesn't: the worker executes the first sending and refuses the second.
    void seesASecondSendingThatIsRefused()
    {
        ModelOptions options;
        options.secondSendingShare = 0.05;
        options.fenceRefusalsUnanswered = true;
        options.refusedCallShare = 0.2;
        CPPUNIT_ASSERT_GREATER(std::size_t(0), countFailedSeeds(options, seeds, simulatedTime));
    }

    // Guards against the same where the second sending finds no connection.
    void seesASecondSendingThatCannotConnect()
    {
        ModelOptions options;
        options.secondSendingShare = 0.05;
        options.fenceRefusalsUnanswered = true;
        options.unreachableAgainShare = 0.2;
        CPPUNIT_ASSERT_GREATER(std::size_t(0), countFailedSeeds(options, seeds, simulatedTime));
    }

    // Guards against the same where another start has raised the fence before the second sending, and a start that is refused by its fence counts as refused.
    void seesASecondSendingThatItsFenceBars()
    {
        ModelOptions options;
        options.secondSendingShare = 0.05;
        options.lostAnswerShare = 0.05;
        CPPUNIT_ASSERT_GREATEREQUAL(seedsOfRareFault / seeds, countFailedSeeds(options, seedsOfRareFault, simulatedTime));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerChangeSecondSendingsTest);
