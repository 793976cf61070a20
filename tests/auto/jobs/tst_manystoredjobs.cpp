#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t storedJobs = 5000;

std::vector<JobRecord> manyRecords()
{
    std::vector<JobRecord> records;
    for (JobId id = 1; id <= storedJobs; ++id) {
        records.push_back(jobRecord(id, 1));
    }
    return records;
}

} // namespace

class TestManyStoredJobs : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestManyStoredJobs);
    CPPUNIT_TEST(tasksInDoubtAreResolvedOverManyTurns);
    CPPUNIT_TEST(laterTurnsKnowOfUnreportedAgents);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an owner that stands still because it resolves the tasks of all stored jobs in one turn.
    void tasksInDoubtAreResolvedOverManyTurns()
    {
        OwnerHarness owner({"agent-1"}, 2, manyRecords());
        owner.join("agent-1");
        CPPUNIT_ASSERT(owner.state.tasksInDoubt + maxTasksResolvedPerTurn >= storedJobs);
        while (owner.state.tasksInDoubt > 0) {
            const std::size_t before = owner.state.tasksInDoubt;
            const auto due = nextDue(owner.state);
            CPPUNIT_ASSERT(due && *due <= owner.state.now + 1ms);
            owner.advanceTime(1ms);
            CPPUNIT_ASSERT(owner.state.tasksInDoubt < before);
            CPPUNIT_ASSERT(before - owner.state.tasksInDoubt <= maxTasksResolvedPerTurn);
        }
        const auto isReadyOrActive = [](const auto &entry) {
            return entry.second.tasks.front().phase == Task::Phase::Ready || entry.second.tasks.front().phase == Task::Phase::Active;
        };
        CPPUNIT_ASSERT(std::all_of(owner.state.jobs.begin(), owner.state.jobs.end(), isReadyOrActive));
    }

    /// Guards against tasks that start again although a successor may have recorded their ends, as a later turn no longer knew that an agent hadn't reported.
    void laterTurnsKnowOfUnreportedAgents()
    {
        OwnerHarness owner({"agent-1", "agent-2"}, 2, manyRecords());
        owner.join("agent-1");
        owner.feed(FormerOwnersFenced{});
        owner.advanceTime(formerRunExpiryTimeout + 10ms);
        while (owner.state.tasksInDoubt > 0) {
            owner.advanceTime(1ms);
        }
        const auto isGivenUp = [](const auto &entry) { return entry.second.tasks.front().givenUpAt.has_value(); };
        CPPUNIT_ASSERT(std::all_of(owner.state.jobs.begin(), owner.state.jobs.end(), isGivenUp));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestManyStoredJobs);
