#include "modelplays.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode::Testing;

namespace {

constexpr std::uint64_t seeds = 300;

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
        play(Witnesses::LinkedToSuccessor);
    }

    // Guards against an owner that has been replaced and regains its authority from an entry that starts and hasn't read of the successor.
    void runsEachTaskOnceWhenEntriesStart()
    {
        play(Witnesses::Killed);
    }

    // Guards against an owner that has been replaced and regains its authority from an entry that stood still and hasn't read of the successor.
    void runsEachTaskOnceWhenEntriesStoodStill()
    {
        play(Witnesses::StandStill);
    }

    // Guards against an owner that most entries go on confirming while they, it and some agents are cut off from the store and a successor.
    void runsEachTaskOnceWhenMostEntriesLoseTheStore()
    {
        play(Witnesses::WithFormerOwner);
    }

    // Guards against an owner that knows no other entry, and so confirms itself, while one that starts later replaces it unseen.
    void runsEachTaskOnceWhenTheLastEntryLosesTheStore()
    {
        play(Witnesses::Absent);
    }

    // Guards against a successor that takes former runs as ended after a time in which the former owner is still confirmed.
    void runsEachTaskOnceInALongPartition()
    {
        play(Witnesses::WithFormerOwner, {20s, 25s}, 40s, 2 * seeds);
    }

    static void play(Witnesses witnesses, PartitionTime partitionTime = {}, Base::Duration time = 15s, std::uint64_t count = seeds)
    {
        ModelOptions options;
        options.witnesses = witnesses;
        options.partitionTime = partitionTime;
        checkSeeds(options, count, time);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerChangeTest);
