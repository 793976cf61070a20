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
    CPPUNIT_TEST_SUITE_END();

    // Guards against a run that is taken for one that never began because the connection of its start was reset.
    void runsEachTaskOnceWhenAnswersAreLost()
    {
        checkSeeds(lostAnswers(), seeds, simulatedTime);
    }

    // Guards against the same when the calls that cancel the start lose their answers too.
    void runsEachTaskOnceWhenManyAnswersAreLost()
    {
        ModelOptions options = lostAnswers();
        options.lostAnswerShare = 0.4;
        checkSeeds(options, seeds, simulatedTime);
    }

    // Guards against the same when another process of the worker answers the calls that cancel the start, or none does.
    void runsEachTaskOnceWhenWorkersRestartAndAnswersAreLost()
    {
        checkSeeds(withWorkerRestarts(lostAnswers()), seeds, simulatedTime);
    }

    // Guards against the same while most entries lose the store.
    void runsEachTaskOnceWhenAnswersAreLostInAPartition()
    {
        ModelOptions options = withWorkerRestarts(lostAnswers());
        options.witnesses = Witnesses::WithFormerOwner;
        checkSeeds(options, seeds, simulatedTime);
    }

    // Guards against a start whose agent has forgotten that its connection was reset, or stands still and can't cancel it.
    void runsEachTaskOnceWhenAgentsRestartAndAnswersAreLost()
    {
        ModelOptions options = withWorkerRestarts(lostAnswers());
        options.agentsRestart = true;
        options.agentsStandStill = true;
        checkSeeds(options, seeds, simulatedTime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerChangeResetsTest);
