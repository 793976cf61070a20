#include "recorder.h"

#include "jobsconstants.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace LaburnumFlow::Jobs {

namespace {

std::size_t recordSize(const Change &change)
{
    const auto *put = std::get_if<PutJob>(&change.operation);
    return put == nullptr ? 0 : put->record.size() + put->failedRuns.size();
}

/// Returns whether the commit that leaves the owner record like this is the one in progress. An owner that vacates the ownership writes the next sequence
/// number too, but without its name.
bool isWrittenBy(const OwnerRecord &record, const OwnerRecord &owner)
{
    return record.epoch == owner.epoch && record.sequence == owner.sequence && record.owner == owner.owner && record.incarnation == owner.incarnation;
}

} // namespace

Recorder::Recorder(OwnerRecord owner, std::int64_t revision, Base::Duration finalStateRetention)
    : owner_(std::move(owner))
    , agents_(owner_.agents)
    , confirmedAgents_(owner_.agents)
    , recordedAgents_(owner_.agents)
    , finalStateRetention_(finalStateRetention)
    , revision_(revision)
{
}

void Recorder::setAgents(std::vector<std::string> agents)
{
    agents_ = std::move(agents);
    updateAgentsDue();
}

/// Compares the lists only when one of them has changed, as every event asks whether a commit is due.
void Recorder::updateAgentsDue()
{
    agentsDue_ = agents_ != confirmedAgents_;
}

void Recorder::add(Change change)
{
    queued_.push_back(std::move(change));
}

std::optional<Commit> Recorder::next(Base::MonoTime now, Base::WallTime wall)
{
    if (sent_ || now < notBefore_) {
        return std::nullopt;
    }
    if (!commit_) {
        if (queued_.empty() && !agentsDue_) {
            return std::nullopt;
        }
        fillCommit(wall);
        firstSentAt_ = now;
    } else if (!mayBeRecorded_) {
        writeAgents();
    }
    sent_ = true;
    notBefore_ = now + commitInterval;
    return commit_;
}

void Recorder::fillCommit(Base::WallTime wall)
{
    Commit commit;
    commit.expectedOwnerRevision = revision_;
    ++owner_.sequence;
    commit.writes.push_back({std::string(ownerKey), {}});
    commit_ = std::move(commit);
    mayBeRecorded_ = false;
    writeAgents();

    for (std::string &key : packs_.takeEmptyKeys(maxKeyRemovalsPerCommit)) {
        commit_->deletes.push_back(std::move(key));
    }
    removeOldSegments(wall);
    const std::size_t finishedBefore = segment_.jobs.size();
    std::size_t bytes = 0;
    while (!queued_.empty() && inFlight_.size() < maxChangesPerCommit && bytes < maxCommitBytes) {
        Change change = std::move(queued_.front());
        queued_.pop_front();
        bytes += recordSize(change);
        std::visit([this, wall](const auto &operation) { apply(operation, wall); }, change.operation);
        inFlight_.push_back(std::move(change));
    }
    if (!pack_.records.empty()) {
        writePack(wall);
    }
    if (segment_.jobs.size() > finishedBefore) {
        writeSegment();
    }
}

/// Writes the current agents into the commit. This is allowed only if no earlier try of the commit can have been executed.
void Recorder::writeAgents()
{
    owner_.agents = agents_;
    commit_->writes.front().value = encodeRecord(owner_);
    // An agent that the commit drops may vanish from the store at any time from now on.
    recordedAgents_.clear();
    std::set_intersection(confirmedAgents_.begin(), confirmedAgents_.end(), agents_.begin(), agents_.end(), std::back_inserter(recordedAgents_));
}

void Recorder::apply(const PutJob &put, Base::WallTime wall)
{
    pack_.records.push_back(put.record);
    if (!put.failedRuns.empty()) {
        pack_.records.push_back(put.failedRuns);
    }
    packs_.put(put.job, packKey(owner_.epoch, packNumber_), wall.count());
}

void Recorder::apply(const FinishJob &finish, Base::WallTime wall)
{
    packs_.finish(finish.job);
    segment_.jobs.push_back({finish.job, finish.state});
    segment_.newestMs = wall.count();
}

void Recorder::writePack(Base::WallTime wall)
{
    pack_.writtenMs = wall.count();
    commit_->writes.push_back({packKey(owner_.epoch, packNumber_), encodeRecord(pack_)});
    pack_ = {};
    ++packNumber_;
}

void Recorder::writeSegment()
{
    const std::string key = finishedKey(owner_.epoch, segmentNumber_);
    commit_->writes.push_back({key, encodeRecord(segment_)});
    if (segment_.jobs.size() >= maxFinishedPerSegment) {
        segments_.push_back({key, segment_.newestMs, packKey(owner_.epoch, packNumber_)});
        segment_ = {};
        ++segmentNumber_;
    }
}

void Recorder::removeOldSegments(Base::WallTime wall)
{
    // With the other entries of a commit, this keeps the transaction within the store's limit of 32 entries.
    constexpr int maxRemoved = 2;
    const std::int64_t oldest = wall.count() - std::chrono::duration_cast<std::chrono::milliseconds>(finalStateRetention_).count();
    for (int i = 0; i < maxRemoved && !segments_.empty(); ++i) {
        // A later owner takes a job for unfinished if it finds its record but not its final state. The age alone can't tell that the record is gone: after an
        // outage of the store both are old.
        const Segment &segment = segments_.front();
        if (segment.newestMs >= oldest || packs_.hasKeyBelow(segment.packsBelow)) {
            return;
        }
        commit_->deletes.push_back(segment.key);
        segments_.pop_front();
    }
}

Recorder::Verdict Recorder::finish(const CommitResult &result, Base::MonoTime now)
{
    sent_ = false;
    const auto *committed = std::get_if<Committed>(&result);
    const auto *conflict = std::get_if<CommitConflict>(&result);
    if (conflict != nullptr && (!conflict->current || !isWrittenBy(*conflict->current, owner_))) {
        return Verdict::OwnershipLost;
    }
    mayBeRecorded_ |= std::holds_alternative<CommitUnknown>(result);
    if (committed == nullptr && conflict == nullptr) {
        backoff_ = backoff_ == Base::Duration::zero() ? Base::Duration(commitRetryDelayInitial) : std::min<Base::Duration>(backoff_ * 2, commitRetryDelayMax);
        notBefore_ = now + backoff_;
        return Verdict::Retry;
    }
    // A conflict with the record that this very commit writes means that an earlier try was executed.
    revision_ = committed != nullptr ? committed->revision : conflict->revision;
    backoff_ = Base::Duration::zero();
    // The try that was executed may have listed other agents than the latest one.
    confirmedAgents_ = committed != nullptr ? owner_.agents : conflict->current->agents;
    recordedAgents_ = confirmedAgents_;
    updateAgentsDue();
    commit_.reset();
    recorded_ = std::exchange(inFlight_, {});
    return Verdict::Recorded;
}

std::vector<Change> Recorder::takeRecorded()
{
    return std::exchange(recorded_, {});
}

std::optional<Base::MonoTime> Recorder::nextDue() const
{
    if (sent_ || (!commit_ && queued_.empty() && !agentsDue_)) {
        return std::nullopt;
    }
    return notBefore_;
}

Base::Duration Recorder::pendingCommitAge(Base::MonoTime now) const
{
    return commit_ ? now - firstSentAt_ : Base::Duration::zero();
}

void Recorder::adoptSegment(std::string key, std::int64_t newestMs)
{
    segments_.push_back({std::move(key), newestMs, packKey(owner_.epoch, 0)});
}

void Recorder::adoptPack(const std::string &key, const std::vector<JobId> &jobs, std::int64_t writtenMs)
{
    for (const JobId job : jobs) {
        packs_.put(job, key, writtenMs);
    }
    if (jobs.empty()) {
        packs_.addEmptyKey(key);
    }
}

std::vector<JobId> Recorder::jobsToRewrite(Base::WallTime wall) const
{
    return packs_.jobsWrittenBefore(wall.count() - std::chrono::duration_cast<std::chrono::milliseconds>(packRewriteAge).count());
}

} // namespace LaburnumFlow::Jobs
