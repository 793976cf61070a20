#include "modelplays.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode::Testing;

namespace {

constexpr std::uint64_t seeds = 300;
constexpr Base::Duration simulatedTime = 30s;

} // namespace

/// Plays owner changes with stored jobs while connections to workers are reset after a call was executed.
class OwnerChangeStoredResetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnerChangeStoredResetsTest);
    CPPUNIT_TEST(keepsTheRulesOfStoredJobsWhenAnswersAreLost);
    CPPUNIT_TEST(keepsTheRulesOfStoredJobsWhenAnswersAreLostInAPartition);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an end that is acknowledged, repeated or counted wrongly because the connection of a hold call was reset.
    void keepsTheRulesOfStoredJobsWhenAnswersAreLost()
    {
        checkSeeds(withStoredJobs(withWorkerRestarts(lostAnswers())), seeds, simulatedTime);
    }

    // Guards against the same while most entries lose the store.
    void keepsTheRulesOfStoredJobsWhenAnswersAreLostInAPartition()
    {
        ModelOptions options = withStoredJobs(withWorkerRestarts(lostAnswers()));
        options.witnesses = Witnesses::WithFormerOwner;
        checkSeeds(options, seeds, simulatedTime);
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

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerChangeStoredResetsTest);
