#pragma once

#include "jobpacks.h"
#include "jobsconstants.h"
#include "messages.h"
#include "records.h"

#include "base/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace LaburnumFlow::Jobs {

/// Identifies a call that awaits its answer. Chosen by whoever forwards the call to the owner.
using CallId = std::uint64_t;

/// An answer that is true only once a change is recorded.
struct AnswerWhenRecorded {
    CallId call = 0;
    CallAnswer answer;
};

/// Identifies an end that may be acknowledged to its worker once a change is recorded.
struct EndAck {
    std::string agent;
    std::int64_t workerStartTimeMs = 0;
    std::uint64_t number = 0;

    auto operator<=>(const EndAck &) const = default;
};

/// Writes the record of a job that isn't final.
struct PutJob {
    JobId job = 0;
    std::string record;
    std::string failedRuns = {}; ///< Encoded FailedRunsRecord; empty if there are none.
};

/// Replaces the record of a job, if there is one, by its final state.
struct FinishJob {
    JobId job = 0;
    JobState state = JobState::Completed;
};

/// A change to one job, together with the ends that it allows to acknowledge and the calls that it answers.
struct Change {
    std::variant<PutJob, FinishJob> operation;
    std::vector<EndAck> endAcks = {};
    std::vector<AnswerWhenRecorded> answers = {};
};

/// A transaction that succeeds only if the owner record still has the expected revision.
struct Commit {
    struct Write {
        std::string key;
        std::string value;
    };

    std::int64_t expectedOwnerRevision = 0;
    std::vector<Write> writes; ///< The owner record first.
    std::vector<std::string> deletes;
};

/// The store has executed the commit.
struct Committed {
    std::int64_t revision = 0;
};

/// The store has reported that it did not execute the commit.
struct CommitRefused {
};

/// The outcome is unknown: the store may have executed the commit or may still do so.
struct CommitUnknown {
};

/// The owner record has another revision.
struct CommitConflict {
    std::optional<OwnerRecord> current;
    std::int64_t revision = 0;
};

using CommitResult = std::variant<Committed, CommitRefused, CommitUnknown, CommitConflict>;

/// Batches changes and commits them, one commit at a time. A commit whose outcome is unknown is retried unchanged until the owner record shows whether it was
/// executed.
class Recorder
{
public:
    /// How the owner must proceed after a commit has ended.
    enum class Verdict {
        Recorded, ///< The changes are stored; takeRecorded() returns them.
        Retry, ///< The same commit must be retried.
        OwnershipLost, ///< Another entry owns the jobs; nothing can be recorded any more.
    };

    Recorder() = default;

    /// \a owner is the owner record that the store holds at \a revision.
    explicit Recorder(OwnerRecord owner, std::int64_t revision, Base::Duration finalStateRetention = defaultFinalStateRetention);

    void add(Change change);

    /// Sets the agents that the next commits record. They must be sorted.
    void setAgents(std::vector<std::string> agents);

    /// Returns the agents that the store lists whether or not the commit in progress succeeds.
    const std::vector<std::string> &recordedAgents() const
    {
        return recordedAgents_;
    }

    /// Returns the next commit if one is due. Its outcome must be passed to finish() before the next commit is returned.
    std::optional<Commit> next(Base::MonoTime now, Base::WallTime wall);

    /// Handles the outcome of the commit that next() returned.
    Verdict finish(const CommitResult &result, Base::MonoTime now);

    /// Returns and clears the changes of the commit that finish() reported as recorded.
    std::vector<Change> takeRecorded();

    /// Returns when next() must be called again; nothing if there is nothing to commit or a commit awaits its outcome.
    std::optional<Base::MonoTime> nextDue() const;

    /// Returns the time since the first try of the commit in progress; zero if there is none.
    Base::Duration pendingCommitAge(Base::MonoTime now) const;

    /// Registers a segment of a former owner for removal. Segments must be added in the order of \a newestMs.
    void adoptSegment(std::string key, std::int64_t newestMs);

    /// Registers a pack of a former owner for removal. \a jobs are those in the pack that aren't final and have no later record.
    void adoptPack(const std::string &key, const std::vector<JobId> &jobs, std::int64_t writtenMs);

    /// Returns the jobs whose records must be rewritten under a new key. Their old key may also hold records of finished jobs, and it must be removed before
    /// the final states of those are, or a later owner would take them for unfinished.
    std::vector<JobId> jobsToRewrite(Base::WallTime wall) const;

    /// Returns the number of changes that aren't recorded yet.
    std::size_t waiting() const
    {
        return queued_.size() + inFlight_.size();
    }

    const OwnerRecord &owner() const
    {
        return owner_;
    }

    /// Returns the last known revision of the owner record.
    std::int64_t revision() const
    {
        return revision_;
    }

private:
    struct Segment {
        std::string key;
        std::int64_t newestMs = 0;
        std::string packsBelow; ///< Packs with lower keys may hold records of the segment's jobs.
    };

    void fillCommit(Base::WallTime wall);
    void writeAgents();
    void apply(const PutJob &put, Base::WallTime wall);
    void apply(const FinishJob &finish, Base::WallTime wall);
    void writePack(Base::WallTime wall);
    void writeSegment();
    void removeOldSegments(Base::WallTime wall);

    void updateAgentsDue();

    OwnerRecord owner_;
    std::vector<std::string> agents_;
    std::vector<std::string> confirmedAgents_; ///< Agents listed by the last successful commit.
    std::vector<std::string> recordedAgents_; ///< See recordedAgents().
    bool agentsDue_ = false; ///< The next commit must list other agents than the last successful one.
    Base::Duration finalStateRetention_ = defaultFinalStateRetention; ///< Time after which final states may be removed.
    std::int64_t revision_ = 0;
    std::deque<Change> queued_;
    std::vector<Change> inFlight_; ///< Changes in commit_.
    std::vector<Change> recorded_;
    std::optional<Commit> commit_; ///< In progress.
    bool sent_ = false; ///< commit_ awaits its outcome.
    bool mayBeRecorded_ = false; ///< The outcome of an earlier try of commit_ is unknown.
    Base::MonoTime firstSentAt_{};
    Base::MonoTime notBefore_{};
    Base::Duration backoff_{};
    JobPacks packs_;
    JobPack pack_; ///< Pack of the commit that is being filled.
    std::uint64_t packNumber_ = 0;
    FinishedSegment segment_; ///< Being filled.
    std::uint64_t segmentNumber_ = 0;
    std::deque<Segment> segments_; ///< Full segments and those of former owners, oldest first.
};

} // namespace LaburnumFlow::Jobs
