#include "modelplays.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode::Testing;

namespace {

constexpr std::uint64_t seeds = 300;
constexpr Base::Duration simulatedTime = 30s;

} // namespace

/// Plays owner changes while connections to workers are reset after a call was executed.
class OwnerChangeResetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnerChangeResetsTest);
    CPPUNIT_TEST(runsEachTaskOnceWhenAnswersAreLost);
    CPPUNIT_TEST(runsEachTaskOnceWhenManyAnswersAreLost);
    CPPUNIT_TEST(runsEachTaskOnceWhenWorkersRestartAndAnswersAreLost);
    CPPUNIT_TEST(runsEachTaskOnceWhenAnswersAreLostInAPartition);
    CPPUNIT_TEST(runsEachTaskOnceWhenAgentsRestartAndAnswersAreLost);
    CPPUNIT_TEST(keepsTheRulesOfStoredJobsWhenAnswersAreLost);
    CPPUNIT_TEST(keepsTheRulesOfStoredJobsWhenAnswersAreLostInAPartition);
    CPPUNIT_TEST(seesASecondSendingThatIsRefused);
    CPPUNIT_TEST(seesASecondSendingThatCannotConnect);
    CPPUNIT_TEST(seesASecondSendingThatItsFenceBars);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a run that is taken for one that never began because the connection of its start was reset.
    void runsEachTaskOnceWhenAnswersAreLost()
    {
        checkSeeds(resets(), seeds, simulatedTime);
    }

    // Guards against the same when the calls that cancel the start lose their answers too.
    void runsEachTaskOnceWhenManyAnswersAreLost()
    {
        ModelOptions options = resets();
        options.lostAnswerShare = 0.4;
        checkSeeds(options, seeds, simulatedTime);
    }

    // Guards against the same when another process of the worker answers the calls that cancel the start, or none does.
    void runsEachTaskOnceWhenWorkersRestartAndAnswersAreLost()
    {
        checkSeeds(withRestarts(resets()), seeds, simulatedTime);
    }

    // Guards against the same while most entries lose the store.
    void runsEachTaskOnceWhenAnswersAreLostInAPartition()
    {
        ModelOptions options = withRestarts(resets());
        options.witnesses = Witnesses::WithFormerOwner;
        checkSeeds(options, seeds, simulatedTime);
    }

    // Guards against a start whose agent has forgotten that its connection was reset, or stands still and can't cancel it.
    void runsEachTaskOnceWhenAgentsRestartAndAnswersAreLost()
    {
        ModelOptions options = withRestarts(resets());
        options.agentsRestart = true;
        options.agentsStandStill = true;
        checkSeeds(options, seeds, simulatedTime);
    }

    // Guards against an end that is acknowledged, repeated or counted wrongly because the connection of a hold call was reset.
    void keepsTheRulesOfStoredJobsWhenAnswersAreLost()
    {
        checkSeeds(withStoredJobs(withRestarts(resets())), seeds, simulatedTime);
    }

    // Guards against the same while most entries lose the store.
    void keepsTheRulesOfStoredJobsWhenAnswersAreLostInAPartition()
    {
        ModelOptions options = withStoredJobs(withRestarts(resets()));
        options.witnesses = Witnesses::WithFormerOwner;
        checkSeeds(options, seeds, simulatedTime);
    }

    // Guards against a model that can't tell a client that sends calls twice from one that doesn't: the worker executes the first sending and refuses the second.
    void seesASecondSendingThatIsRefused()
    {
        ModelOptions options;
        options.secondSendingShare = 0.05;
        options.fenceRefusalsUnanswered = true;
        options.refusedCallShare = 0.2;
        CPPUNIT_ASSERT_GREATER(std::size_t(0), countFailedSeeds(options, plantedSeeds, simulatedTime));
    }

    // Guards against the same where the second sending finds no connection.
    void seesASecondSendingThatCannotConnect()
    {
        ModelOptions options;
        options.secondSendingShare = 0.05;
        options.fenceRefusalsUnanswered = true;
        options.unreachableAgainShare = 0.2;
        CPPUNIT_ASSERT_GREATER(std::size_t(0), countFailedSeeds(options, plantedSeeds, simulatedTime));
    }

    // Guards against the same where another start has raised the fence before the second sending, and a start that is refused by its fence counts as refused.
    void seesASecondSendingThatItsFenceBars()
    {
        ModelOptions options;
        options.secondSendingShare = 0.05;
        options.lostAnswerShare = 0.05;
        CPPUNIT_ASSERT_GREATER(std::size_t(0), countFailedSeeds(options, plantedSeeds, simulatedTime));
    }

    static constexpr std::uint64_t plantedSeeds = 10;

    static ModelOptions resets()
    {
        ModelOptions options;
        options.lostAnswerShare = 0.1;
        options.refusedCallShare = 0.1;
        options.fenceRefusalsUnanswered = true;
        return options;
    }

    static ModelOptions withRestarts(ModelOptions options)
    {
        options.workersRestart = true;
        options.longestWorkerDownTime = 200ms;
        return options;
    }

    static ModelOptions withStoredJobs(ModelOptions options)
    {
        options.storedJobs = true;
        options.twoStepShare = 0.5;
        options.failingRunShare = 0.2;
        options.cancelledShare = 0.2;
        options.maxListedEnds = 5;
        options.lateCommitShare = 0.05;
        return options;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerChangeResetsTest);
