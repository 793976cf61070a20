#include "ownerchangemodel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode::Testing;

namespace {

constexpr std::uint64_t seeds = 300;
constexpr std::size_t minTakeoversPerSeed = 2;
constexpr std::size_t minStartsPerSeed = 20;

} // namespace

class OwnerChangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnerChangeTest);
    CPPUNIT_TEST(runsEachTaskOnceAtATime);
    CPPUNIT_TEST(runsEachTaskOnceWhenEntriesStart);
    CPPUNIT_TEST(runsEachTaskOnceWhenEntriesStoodStill);
    CPPUNIT_TEST(runsEachTaskOnceWhenMostEntriesLoseTheStore);
    CPPUNIT_TEST(runsEachTaskOnceWhenTheLastEntryLosesTheStore);
    CPPUNIT_TEST(runsEachTaskOnceInALongPartition);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a task that a former and a new owner run at the same time, in any order of faults of entries, links and the store.
    void runsEachTaskOnceAtATime()
    {
        checkSeeds(Witnesses::LinkedToSuccessor);
    }

    // Guards against an owner that has been replaced and regains its authority from an entry that starts and hasn't read of the successor.
    void runsEachTaskOnceWhenEntriesStart()
    {
        checkSeeds(Witnesses::Killed);
    }

    // Guards against an owner that has been replaced and regains its authority from an entry that stood still and hasn't read of the successor.
    void runsEachTaskOnceWhenEntriesStoodStill()
    {
        checkSeeds(Witnesses::StandStill);
    }

    // Guards against an owner that most entries go on confirming while they, it and some agents are cut off from the store and a successor.
    void runsEachTaskOnceWhenMostEntriesLoseTheStore()
    {
        checkSeeds(Witnesses::WithFormerOwner);
    }

    // Guards against an owner that knows no other entry, and so confirms itself, while one that starts later replaces it unseen.
    void runsEachTaskOnceWhenTheLastEntryLosesTheStore()
    {
        checkSeeds(Witnesses::Absent);
    }

    // Guards against a successor that takes former runs as ended after a time in which the former owner is still confirmed.
    void runsEachTaskOnceInALongPartition()
    {
        checkSeeds(Witnesses::WithFormerOwner, {20s, 25s}, 40s);
    }

    /// Also fails if too few owners change or tasks start to tell.
    static void checkSeeds(Witnesses witnesses, PartitionTime partitionTime = {}, Base::Duration time = 15s)
    {
        std::size_t takeovers = 0;
        std::size_t starts = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            OwnerChangeModel model(seed, witnesses, partitionTime);
            model.run(time);
            const bool single = model.violations().empty();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + "\n" + model.violations() + (single ? "" : "log:\n" + model.log()), single);
            takeovers += model.takeovers();
            starts += model.starts();
        }
        CPPUNIT_ASSERT_GREATEREQUAL(seeds * minTakeoversPerSeed, takeovers);
        CPPUNIT_ASSERT_GREATEREQUAL(seeds * minStartsPerSeed, starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerChangeTest);
