#include "jobs/jobsconstants.h"
#include "jobs/recorder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace std::chrono_literals;

namespace {

constexpr Base::WallTime wall{1'000'000};
constexpr std::int64_t firstRevision = 7;

Recorder makeRecorder()
{
    return Recorder(OwnerRecord{3, 0, "entry", 1, {}}, firstRevision);
}

Change putJob(JobId job, std::string record = "record")
{
    return {PutJob{job, std::move(record)}, {}};
}

Change finishJob(JobId job)
{
    return {FinishJob{job, JobState::Completed}, {}};
}

} // namespace

class TestRecorder : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRecorder);
    CPPUNIT_TEST(groupsChanges);
    CPPUNIT_TEST(oneCommitAtATime);
    CPPUNIT_TEST(repeatsUnknownCommitUnchanged);
    CPPUNIT_TEST(recognizesOwnLateCommit);
    CPPUNIT_TEST(anotherOwnerEndsTheOwnership);
    CPPUNIT_TEST(vacatedRecordIsNoOwnCommit);
    CPPUNIT_TEST(keyIsRemovedLater);
    CPPUNIT_TEST(keyStaysWhileAJobNeedsIt);
    CPPUNIT_TEST(keyStaysIfItIsUsedAgain);
    CPPUNIT_TEST(listsJobsUnderOldKeys);
    CPPUNIT_TEST(staysWithinTheStoresLimit);
    CPPUNIT_TEST(recordsAgents);
    CPPUNIT_TEST(leavingAgentsAreNotRecorded);
    CPPUNIT_TEST(refusedCommitIsRepeatedWithNewAgents);
    CPPUNIT_TEST(agentsOfAnExecutedCommitAreThoseInTheStore);
    CPPUNIT_TEST(removesOldSegments);
    CPPUNIT_TEST(finalStatesOutliveOlderRecords);
    CPPUNIT_TEST(finalStatesOfFormerOwnersOutliveTheirRecords);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against one commit for each job, which exceeds the rate limit of the store.
    void groupsChanges()
    {
        Recorder recorder = makeRecorder();
        for (JobId job = 1; job <= 10; ++job) {
            recorder.add(putJob(job));
        }
        const auto commit = recorder.next(1s, wall);
        CPPUNIT_ASSERT(commit.has_value());
        CPPUNIT_ASSERT_EQUAL(firstRevision, commit->expectedOwnerRevision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), commit->writes.size());
        CPPUNIT_ASSERT_EQUAL(std::string(ownerKey), commit->writes[0].key);
        CPPUNIT_ASSERT(recorder.finish(Committed{8}, 1s) == Recorder::Verdict::Recorded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), recorder.takeRecorded().size());
    }

    /// Guards against two concurrent commits, which the store may carry out in the wrong order.
    void oneCommitAtATime()
    {
        Recorder recorder = makeRecorder();
        recorder.add(putJob(1));
        CPPUNIT_ASSERT(recorder.next(1s, wall).has_value());
        recorder.add(putJob(2));
        CPPUNIT_ASSERT(!recorder.next(2s, wall).has_value());
        recorder.finish(Committed{8}, 2s);
        const auto next = recorder.next(3s, wall);
        CPPUNIT_ASSERT(next.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), next->expectedOwnerRevision);
    }

    /// Guards against repeating a commit of unknown outcome with other content: the store may carry out both, one of them late.
    void repeatsUnknownCommitUnchanged()
    {
        Recorder recorder = makeRecorder();
        recorder.add(putJob(1));
        const auto first = recorder.next(1s, wall);
        recorder.add(putJob(2));
        CPPUNIT_ASSERT(recorder.finish(CommitUnknown{}, 1s) == Recorder::Verdict::Retry);
        const auto repeated = recorder.next(2s, wall);
        CPPUNIT_ASSERT(repeated.has_value());
        CPPUNIT_ASSERT_EQUAL(first->expectedOwnerRevision, repeated->expectedOwnerRevision);
        CPPUNIT_ASSERT_EQUAL(first->writes.size(), repeated->writes.size());
        CPPUNIT_ASSERT_EQUAL(first->writes[0].value, repeated->writes[0].value);
    }

    /// Guards against an owner that steps down because of a conflict with its own commit, which was carried out although its
    /// response was lost.
    void recognizesOwnLateCommit()
    {
        Recorder recorder = makeRecorder();
        recorder.add(putJob(1));
        const auto commit = recorder.next(1s, wall);
        recorder.finish(CommitUnknown{}, 1s);
        recorder.next(2s, wall);
        const CommitConflict conflict{decodeOwnerRecord(commit->writes[0].value), 9};
        CPPUNIT_ASSERT(recorder.finish(conflict, 2s) == Recorder::Verdict::Recorded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), recorder.takeRecorded().size());
        recorder.add(putJob(2));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), recorder.next(3s, wall)->expectedOwnerRevision);
    }

    /// Guards against a former owner that keeps recording after another entry took over.
    void anotherOwnerEndsTheOwnership()
    {
        Recorder recorder = makeRecorder();
        recorder.add(putJob(1));
        recorder.next(1s, wall);
        const CommitConflict conflict{OwnerRecord{4, 0, "other", 2, {}}, 9};
        CPPUNIT_ASSERT(recorder.finish(conflict, 1s) == Recorder::Verdict::OwnershipLost);
        CPPUNIT_ASSERT(recorder.takeRecorded().empty());
    }

    /// Guards against acknowledging changes that aren't stored: the entry has vacated the ownership, and the commit that it sent before it learned of
    /// that meets a record with its own epoch and the next sequence number.
    void vacatedRecordIsNoOwnCommit()
    {
        Recorder recorder = makeRecorder();
        const OwnerRecord &owner = recorder.owner();
        const OwnerRecord vacant{owner.epoch, owner.sequence + 1, {}, 0, {}};
        recorder.add(putJob(1));
        recorder.next(1s, wall);
        CPPUNIT_ASSERT(recorder.finish(CommitConflict{vacant, 8}, 1s) == Recorder::Verdict::OwnershipLost);
        CPPUNIT_ASSERT(recorder.takeRecorded().empty());
    }

    /// Guards against a transaction that writes and removes the same key, which the store refuses each time it is repeated.
    void keyIsRemovedLater()
    {
        Recorder recorder = makeRecorder();
        recorder.add(putJob(1));
        recorder.add(finishJob(1));
        const auto first = recorder.next(1s, wall);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), first->writes.size());
        CPPUNIT_ASSERT(first->deletes.empty());
        recorder.finish(Committed{8}, 1s);
        recorder.add(putJob(2));
        const auto second = recorder.next(2s, wall);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second->deletes.size());
        CPPUNIT_ASSERT_EQUAL(packKey(3, 0), second->deletes[0]);
    }

    /// Guards against removing a key while a job recorded under it is not final.
    void keyStaysWhileAJobNeedsIt()
    {
        Recorder recorder = makeRecorder();
        recorder.add(putJob(1));
        recorder.add(putJob(2));
        recorder.next(1s, wall);
        recorder.finish(Committed{8}, 1s);
        recorder.add(finishJob(1));
        recorder.next(2s, wall);
        recorder.finish(Committed{9}, 2s);
        recorder.add(putJob(3));
        CPPUNIT_ASSERT(recorder.next(3s, wall)->deletes.empty());
        recorder.finish(Committed{10}, 3s);
        // Writes the job's record under another key.
        recorder.add(putJob(2));
        recorder.next(4s, wall);
        recorder.finish(Committed{11}, 4s);
        recorder.add(putJob(4));
        CPPUNIT_ASSERT_EQUAL(packKey(3, 0), recorder.next(5s, wall)->deletes.at(0));
    }

    /// Guards against a finished job that seems unfinished because its final state was removed before the key with its record,
    /// which other jobs keep in use.
    void listsJobsUnderOldKeys()
    {
        Recorder recorder = makeRecorder();
        recorder.add(putJob(1));
        recorder.add(putJob(2));
        recorder.add(finishJob(2));
        recorder.next(1s, wall);
        recorder.finish(Committed{8}, 1s);
        CPPUNIT_ASSERT(recorder.jobsToRewrite(wall).empty());
        const auto later = wall + std::chrono::duration_cast<Base::WallTime>(packRewriteAge) + 1ms;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), recorder.jobsToRewrite(later).size());
        CPPUNIT_ASSERT_EQUAL(JobId(1), recorder.jobsToRewrite(later)[0]);
    }

    /// Guards against transactions of more than 32 entries, the limit of the store.
    void staysWithinTheStoresLimit()
    {
        constexpr std::size_t storeLimit = 32;
        Recorder recorder = makeRecorder();
        constexpr std::size_t changeCount = 2000;
        for (JobId job = 1; job <= changeCount; ++job) {
            recorder.add(job % 2 == 0 ? putJob(job) : finishJob(job - 1));
        }
        std::int64_t revision = firstRevision;
        std::size_t changes = 0;
        Base::MonoTime now = 1s;
        while (const auto commit = recorder.next(now, wall)) {
            const std::size_t revisionChecks = 1;
            CPPUNIT_ASSERT(revisionChecks + commit->writes.size() + commit->deletes.size() <= storeLimit);
            recorder.finish(Committed{++revision}, now);
            changes += recorder.takeRecorded().size();
            now += 1s;
        }
        CPPUNIT_ASSERT_EQUAL(changeCount, changes);
    }

    /// Guards against an agent that gets tasks before the owner record names it, so that the next owner does not know of them.
    void recordsAgents()
    {
        Recorder recorder = makeRecorder();
        CPPUNIT_ASSERT(!recorder.next(1s, wall).has_value());
        recorder.setAgents({"agent-1"});
        const auto commit = recorder.next(1s, wall);
        CPPUNIT_ASSERT(commit.has_value());
        CPPUNIT_ASSERT(recorder.recordedAgents().empty());
        recorder.finish(Committed{8}, 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), recorder.recordedAgents().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decodeOwnerRecord(commit->writes[0].value)->agents.size());
        CPPUNIT_ASSERT(!recorder.next(2s, wall).has_value());
    }

    /// Guards against tasks on an agent that comes back while a commit without it is in progress: the next owner would not wait
    /// for the agent and would start the tasks again.
    void leavingAgentsAreNotRecorded()
    {
        Recorder recorder(OwnerRecord{3, 0, "entry", 1, {"agent-1", "agent-2"}}, firstRevision);
        recorder.setAgents({"agent-1"});
        CPPUNIT_ASSERT(recorder.next(1s, wall).has_value());
        CPPUNIT_ASSERT(recorder.recordedAgents() == std::vector<std::string>{"agent-1"});
        recorder.setAgents({"agent-1", "agent-2"});
        recorder.finish(CommitUnknown{}, 2s);
        CPPUNIT_ASSERT(recorder.next(3s, wall).has_value());
        CPPUNIT_ASSERT(recorder.recordedAgents() == std::vector<std::string>{"agent-1"});
        recorder.finish(Committed{8}, 4s);
        CPPUNIT_ASSERT(recorder.recordedAgents() == std::vector<std::string>{"agent-1"});
        CPPUNIT_ASSERT(recorder.next(5s, wall).has_value());
        recorder.finish(Committed{9}, 6s);
        CPPUNIT_ASSERT((recorder.recordedAgents() == std::vector<std::string>{"agent-1", "agent-2"}));
    }

    /// Guards against an agent that left for a moment and gets no work for as long as the store refuses commits: a refused
    /// commit may be changed, one of unknown outcome may not.
    void refusedCommitIsRepeatedWithNewAgents()
    {
        Recorder recorder(OwnerRecord{3, 0, "entry", 1, {"agent-1", "agent-2"}}, firstRevision);
        recorder.add(putJob(1));
        recorder.setAgents({"agent-1"});
        const auto first = recorder.next(1s, wall);
        recorder.finish(CommitRefused{}, 2s);
        recorder.setAgents({"agent-1", "agent-2"});
        const auto second = recorder.next(3s, wall);
        CPPUNIT_ASSERT(second.has_value());
        CPPUNIT_ASSERT((decodeOwnerRecord(second->writes.at(0).value)->agents == std::vector<std::string>{"agent-1", "agent-2"}));
        CPPUNIT_ASSERT(second->writes.at(1).value == first->writes.at(1).value);
        CPPUNIT_ASSERT((recorder.recordedAgents() == std::vector<std::string>{"agent-1", "agent-2"}));
        recorder.finish(CommitUnknown{}, 4s);
        recorder.setAgents({"agent-1"});
        recorder.finish(CommitRefused{}, 5s);
        const auto third = recorder.next(6s, wall);
        CPPUNIT_ASSERT(third->writes.at(0).value == second->writes.at(0).value);
    }

    /// Guards against a successor that doesn't wait for an agent: a try of the commit was executed although it was reported as refused, so that the
    /// store lists the agents of that try and not those of the later one.
    void agentsOfAnExecutedCommitAreThoseInTheStore()
    {
        Recorder recorder = makeRecorder();
        recorder.setAgents({"a"});
        const auto executed = recorder.next(1s, wall);
        recorder.finish(CommitRefused{}, 1s);
        recorder.setAgents({"a", "b"});
        recorder.next(2s, wall);
        const CommitConflict conflict{decodeOwnerRecord(executed->writes[0].value), 9};
        CPPUNIT_ASSERT(recorder.finish(conflict, 2s) == Recorder::Verdict::Recorded);
        CPPUNIT_ASSERT(recorder.recordedAgents() == std::vector<std::string>{"a"});
        const auto next = recorder.next(3s, wall);
        CPPUNIT_ASSERT(next.has_value());
        CPPUNIT_ASSERT(decodeOwnerRecord(next->writes[0].value)->agents == (std::vector<std::string>{"a", "b"}));
    }

    /// Guards against removing the records of accepted jobs because the first job of their commit ended within it, as when that
    /// job is cancelled while it waits to be stored.
    void keyStaysIfItIsUsedAgain()
    {
        Recorder recorder = makeRecorder();
        recorder.add(putJob(1));
        recorder.add(finishJob(1));
        recorder.add(putJob(2));
        const std::string key = recorder.next(1s, wall)->writes.at(1).key;
        recorder.finish(Committed{8}, 1s);
        recorder.add(putJob(3));
        CPPUNIT_ASSERT(recorder.next(2s, wall)->deletes.empty());
        recorder.finish(Committed{9}, 2s);
        recorder.add(finishJob(2));
        CPPUNIT_ASSERT(recorder.next(3s, wall)->deletes.empty());
        recorder.finish(Committed{10}, 3s);
        recorder.add(putJob(4));
        CPPUNIT_ASSERT((recorder.next(4s, wall)->deletes == std::vector<std::string>{key}));
    }

    /// Guards against a store that fills up with final states.
    void removesOldSegments()
    {
        Recorder recorder = makeRecorder();
        recorder.adoptSegment("old", wall.count());
        recorder.add(putJob(1));
        CPPUNIT_ASSERT(recorder.next(1s, wall)->deletes.empty());
        recorder.finish(Committed{8}, 1s);
        recorder.add(putJob(2));
        const auto later = recorder.next(2s, wall + std::chrono::duration_cast<Base::WallTime>(defaultFinalStateRetention) + 1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), later->deletes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("old"), later->deletes[0]);
    }

    /// Guards against a finished job that the next owner takes for unfinished and runs again: after an outage of the store, its final state was old and
    /// removed before the pack with its record.
    void finalStatesOutliveOlderRecords()
    {
        Recorder recorder = makeRecorder();
        std::int64_t revision = firstRevision;
        for (JobId job = 1; job <= maxFinishedPerSegment + 1; ++job) {
            recorder.add(putJob(job));
        }
        commit(recorder, revision, 1s, wall);
        for (JobId job = 1; job <= maxFinishedPerSegment; ++job) {
            recorder.add(finishJob(job));
        }
        commit(recorder, revision, 2s, wall);
        recorder.add(putJob(maxFinishedPerSegment + 2));
        CPPUNIT_ASSERT(commit(recorder, revision, 3s, muchLater).empty());
        // The unfinished job is recorded under another key, so the pack can be removed.
        recorder.add(putJob(maxFinishedPerSegment + 1));
        commit(recorder, revision, 4s, muchLater);
        recorder.add(putJob(maxFinishedPerSegment + 3));
        const std::vector<std::string> deletes = commit(recorder, revision, 5s, muchLater);
        CPPUNIT_ASSERT_EQUAL(packKey(3, 0), deletes.at(0));
        CPPUNIT_ASSERT_EQUAL(finishedKey(3, 0), deletes.at(1));
    }

    /// Guards against the same with records and final states of a former owner that are old at the takeover.
    void finalStatesOfFormerOwnersOutliveTheirRecords()
    {
        Recorder recorder = makeRecorder();
        std::int64_t revision = firstRevision;
        recorder.adoptPack(packKey(2, 0), {1}, wall.count());
        recorder.adoptSegment(finishedKey(2, 0), wall.count());
        recorder.add(putJob(2));
        CPPUNIT_ASSERT(commit(recorder, revision, 1s, muchLater).empty());
        recorder.add(putJob(1));
        commit(recorder, revision, 2s, muchLater);
        recorder.add(putJob(3));
        const std::vector<std::string> deletes = commit(recorder, revision, 3s, muchLater);
        CPPUNIT_ASSERT_EQUAL(packKey(2, 0), deletes.at(0));
        CPPUNIT_ASSERT_EQUAL(finishedKey(2, 0), deletes.at(1));
    }

private:
    static constexpr Base::WallTime muchLater = wall + std::chrono::duration_cast<Base::WallTime>(defaultFinalStateRetention) + 1ms;

    /// Lets the next commit succeed. Returns the keys that it removes.
    static std::vector<std::string> commit(Recorder &recorder, std::int64_t &revision, Base::MonoTime now, Base::WallTime time)
    {
        const std::optional<Commit> next = recorder.next(now, time);
        CPPUNIT_ASSERT(next.has_value());
        recorder.finish(Committed{++revision}, now);
        return next->deletes;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRecorder);
