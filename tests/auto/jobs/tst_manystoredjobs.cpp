#include "ownerharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <span>
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
    CPPUNIT_TEST(oldRecordsAreRewrittenAFewAtATime);
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

    /// Guards against a turn that encodes the records of all stored jobs, and against new jobs that wait until all of them are written.
    void oldRecordsAreRewrittenAFewAtATime()
    {
        OwnerHarness owner({"agent-1"}, 2, manyRecords());
        owner.feed(AgentLinked{"agent-1"});
        owner.advanceTime(packRewriteAge + packRewriteInterval);
        const std::size_t commitsBefore = owner.commits.size();
        std::set<JobId> rewritten;
        for (int turn = 0; turn < 200 && rewritten.size() < storedJobs; ++turn) {
            CPPUNIT_ASSERT(owner.state.recorder.waiting() <= maxRewritesWaiting);
            owner.advanceTime(commitInterval);
            owner.commit();
            addRecordedJobs(std::span(owner.commits).subspan(commitsBefore), rewritten);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(storedJobs), rewritten.size());
    }

private:
    static void addRecordedJobs(std::span<const Commit> commits, std::set<JobId> &jobs)
    {
        for (const Commit &commit : commits) {
            for (const Commit::Write &write : commit.writes) {
                if (write.key.starts_with(jobPrefix)) {
                    addRecordedJobs(decodeJobPack(write.value).value(), jobs);
                }
            }
        }
    }

    static void addRecordedJobs(const JobPack &pack, std::set<JobId> &jobs)
    {
        for (const std::string &record : pack.records) {
            jobs.insert(decodeJobRecord(record).value().id);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestManyStoredJobs);
