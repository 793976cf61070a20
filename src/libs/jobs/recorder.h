#pragma once

#include "jobpacks.h"
#include "records.h"

#include "base/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace LaburnumFlow::Jobs {

/// An end that may be acknowledged to its worker once a change is recorded.
struct EndAck {
    std::string agent;
    std::int64_t workerStartTimeMs = 0;
    std::uint64_t number = 0;

    auto operator<=>(const EndAck &) const = default;
};

/// Writes the record of a job that is not final.
struct PutJob {
    JobId job = 0;
    std::string record;
};

/// Removes the record of a job and keeps its final state.
struct FinishJob {
    JobId job = 0;
    JobState state = JobState::Completed;
};

struct Change {
    std::variant<PutJob, FinishJob> operation;
    std::vector<EndAck> endAcks;
};

/// One transaction, carried out if the owner record still has the expected revision.
struct Commit {
    struct Write {
        std::string key;
        std::string value;
    };

    std::int64_t expectedOwnerRevision = 0;
    std::vector<Write> writes; ///< the owner record first
    std::vector<std::string> deletes;
};

struct Committed {
    std::int64_t revision = 0;
};

/// The store did nothing and said so.
struct CommitRefused {
};

/// The commit may have been carried out, or may be later.
struct CommitUnknown {
};

/// The owner record has another revision.
struct CommitConflict {
    std::optional<OwnerRecord> current;
    std::int64_t revision = 0;
};

using CommitResult = std::variant<Committed, CommitRefused, CommitUnknown, CommitConflict>;

/// Gathers changes and commits them in groups, one commit at a time. A commit whose outcome is unknown is repeated as
/// it was until the owner record shows what became of it.
class Recorder
{
public:
    enum class Verdict {
        Recorded, ///< recorded() holds the changes
        Retry, ///< the same commit is due again
        OwnershipLost, ///< another entry owns the jobs; nothing can be recorded any more
    };

    Recorder() = default;

    /// owner: as it stands in the store at the given revision.
    Recorder(OwnerRecord owner, std::int64_t revision);

    void add(Change change);

    /// The agents that the next commits record.
    void setAgents(std::vector<std::string> agents);

    /// The agents that the store holds for certain, also after the commit in progress.
    const std::vector<std::string> &recordedAgents() const
    {
        return recordedAgents_;
    }

    /// The next commit, if one is due. Its outcome must be reported to finish() before the next call.
    std::optional<Commit> next(Base::MonoTime now, Base::WallTime wall);

    Verdict finish(const CommitResult &result, Base::MonoTime now);

    /// The changes of the commit that finish() reported as recorded.
    std::vector<Change> takeRecorded();

    /// When next() should be called again; nothing if no change is waiting.
    std::optional<Base::MonoTime> nextDue() const;

    /// How long the commit in progress has been tried; zero if there is none.
    Base::Duration pendingCommitAge(Base::MonoTime now) const;

    /// Takes over what a former owner wrote, so that it is removed in time. jobs: those under the key that are not final
    /// and have no later record.
    void adoptSegment(std::string key, std::int64_t newestMs);
    void adoptPack(const std::string &key, const std::vector<JobId> &jobs, std::int64_t writtenMs);

    /// Jobs whose records must be written anew before the final states beside them are removed.
    std::vector<JobId> jobsToRewrite(Base::WallTime wall) const;

    std::size_t waiting() const
    {
        return queued_.size() + inFlight_.size();
    }

    const OwnerRecord &owner() const
    {
        return owner_;
    }

    /// Of the owner record, as far as is known.
    std::int64_t revision() const
    {
        return revision_;
    }

private:
    struct Segment {
        std::string key;
        std::int64_t newestMs = 0;
    };

    void fillCommit(Base::WallTime wall);
    void writeAgents();
    void apply(const PutJob &put, Base::WallTime wall);
    void apply(const FinishJob &finish, Base::WallTime wall);
    void writePack(Base::WallTime wall);
    void writeSegment();
    void removeOldSegments(Base::WallTime wall);

    bool agentsDue() const;

    OwnerRecord owner_;
    std::vector<std::string> agents_;
    std::vector<std::string> confirmedAgents_; ///< that the last recorded commit holds
    std::vector<std::string> recordedAgents_;
    std::int64_t revision_ = 0;
    std::deque<Change> queued_;
    std::vector<Change> inFlight_;
    std::vector<Change> recorded_;
    std::optional<Commit> commit_; ///< in progress
    bool sent_ = false; ///< commit_ awaits its outcome
    bool mayBeRecorded_ = false; ///< the outcome of an earlier try of commit_ is unknown
    Base::MonoTime firstSentAt_{};
    Base::MonoTime notBefore_{};
    Base::Duration backoff_{};
    JobPacks packs_;
    JobPack pack_; ///< of the commit that is being filled
    std::uint64_t packNumber_ = 0;
    FinishedSegment segment_; ///< being filled
    std::uint64_t segmentNumber_ = 0;
    std::deque<Segment> segments_; ///< oldest first, without the one being filled
};

} // namespace LaburnumFlow::Jobs
