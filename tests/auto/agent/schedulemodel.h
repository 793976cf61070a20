#pragma once

#include "agentharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

namespace LaburnumFlow::Agent {

/// Independent model of an agent. It follows the messages to the agent and the effects of its reducer, never the agent's
/// state, and fails the test when an effect breaks a rule.
class ScheduleModel
{
public:
    struct DeliveredStart {
        Protocol::StartTask task;
        Protocol::ClockToken token;
        std::string refusal; ///< Why the task must not start. Empty if it may.
        int ownerChange = 0; ///< Number of owner changes of the partition before the delivery
    };

    struct Running {
        Base::MonoTime startedAt{};
        Base::MonoTime leaseEnd{};
        bool stopped = false;
    };

    ScheduleModel(std::string seed, std::uint16_t slots, std::uint16_t reserved) : seed_(std::move(seed)), slots_(slots), reserved_(reserved) { }

    void advanceTo(Base::MonoTime now)
    {
        now_ = now;
        std::erase_if(running_, [&](const auto &task) { return task.second.leaseEnd <= now; });
    }

    void deliverStart(const std::string &entry, const Protocol::StartBatch &batch)
    {
        for (const Protocol::StartTask &task : batch.tasks) {
            raiseRevision(task.team, task.settingsRevision);
            raiseRevision("", task.rootRevision);
        }
        for (const Protocol::StartTask &task : batch.tasks) {
            const bool ownerAccepted = acceptServingOwner(entry, task.partition, batch.epoch);
            if (fenced_.contains(task.key) || delivered_.contains(task.key)) {
                continue;
            }
            DeliveredStart made{task, batch.token, {}, ownerChanges_[task.partition]};
            const Base::MonoTime age = now_ - Base::MonoTime(batch.token.agentMonoUs);
            if (!ownerAccepted) {
                made.refusal = "epoch too low";
            } else if (batch.token.agentIncarnation != agentIncarnation || age > Protocol::maxTokenAge || age < Base::MonoTime(0)) {
                made.refusal = "token too old";
            } else if (areSettingsTooOld(task)) {
                made.refusal = "settings too old";
            } else if (draining || backend != BackendState::Serving) {
                made.refusal = "draining";
            }
            delivered_.emplace(task.key, made);
        }
    }

    void deliverFence(const std::string &entry, Protocol::Epoch epoch, const std::vector<Protocol::Partition> &partitions)
    {
        for (const Protocol::Partition partition : partitions) {
            acceptOwner(entry, partition, epoch);
        }
    }

    /// Records the delivery of a QueryAttempts or CancelTasks message.
    void deliverKeys(const std::string &entry, Protocol::Epoch epoch, const std::vector<Base::AttemptKey> &keys, bool query)
    {
        for (const Base::AttemptKey &key : keys) {
            const auto found = delivered_.find(key);
            if (found == delivered_.end()) {
                fenced_.insert(key);
            } else if (query) {
                acceptServingOwner(entry, found->second.task.partition, epoch);
            }
        }
    }

    void recordEcho(const std::string &entry, const Protocol::ClockToken &token)
    {
        if (token.agentIncarnation == agentIncarnation) {
            Base::MonoTime &newest = echoes_[entry];
            newest = std::max(newest, Base::MonoTime(token.agentMonoUs));
        }
    }

    /// Records the end of a start call. A task whose connection broke may run on; only one that is not idempotent is reported
    /// before its lease ends.
    void taskEnded(const Base::AttemptKey &key, BackendOutcome outcome)
    {
        if (outcome != BackendOutcome::Lost || !delivered_.at(key).task.idempotent) {
            running_.erase(key);
        }
    }

    void check(const Effects &effects, bool afterTime)
    {
        for (const Effect &effect : effects) {
            if (const auto *start = std::get_if<BackendStart>(&effect)) {
                checkStart(*start);
            } else if (const auto *renew = std::get_if<BackendRenew>(&effect)) {
                checkLease(renew->key, renew->leaseMs);
            } else if (const auto *stop = std::get_if<BackendStop>(&effect)) {
                require(started_.contains(stop->key), "stop of a task that was not started", stop->key);
                if (const auto found = running_.find(stop->key); found != running_.end()) {
                    found->second.stopped = true;
                }
            } else if (const auto *sent = std::get_if<SendToEntry>(&effect)) {
                checkReply(*sent);
            }
        }
        checkSlots();
        if (afterTime) {
            checkRunning();
        }
    }

    /// Checks that the agent sent an update for each start of the batch at once.
    void checkAnswered(const std::string &entry, const Protocol::StartBatch &batch, const Effects &effects) const
    {
        std::set<Base::AttemptKey> answered;
        for (const Effect &effect : effects) {
            const auto *sent = std::get_if<SendToEntry>(&effect);
            const auto *updates = sent == nullptr || sent->entry != entry ? nullptr : std::get_if<Protocol::TaskUpdates>(&sent->reply);
            for (std::size_t i = 0; updates != nullptr && i < updates->updates.size(); ++i) {
                answered.insert(updates->updates[i].key);
            }
        }
        for (const Protocol::StartTask &task : batch.tasks) {
            require(answered.contains(task.key), "no update sent for the start", task.key);
        }
    }

    /// Checks at the end of a schedule that every started attempt has been reported to its owner as ended.
    void checkAllReported() const
    {
        for (const Base::AttemptKey &key : started_) {
            require(reported_.contains(key), "end not reported to the owner", key);
        }
    }

    const std::map<Base::AttemptKey, Running> &running() const
    {
        return running_;
    }

    std::size_t starts() const
    {
        return started_.size();
    }

    bool draining = false;
    BackendState backend = BackendState::Serving;

private:
    void require(bool condition, const std::string &what, const Base::AttemptKey &key) const
    {
        if (!condition) {
            CPPUNIT_FAIL(seed_ + ": " + what + ", submission " + std::to_string(key.task.submission.bytes[15]) + " attempt " + std::to_string(key.attempt));
        }
    }

    bool acceptOwner(const std::string &entry, Protocol::Partition partition, Protocol::Epoch epoch)
    {
        PartitionOwner &owner = owners_[partition];
        if (epoch < owner.epoch) {
            return false;
        }
        if (owner.entry != entry) {
            ++ownerChanges_[partition];
            if (!owner.entry.empty()) {
                unfenced_[partition].insert(owner.entry);
            }
        }
        owner = {epoch, entry};
        return true;
    }

    /// Accepts an owner that sends a start or a query, for which it must have fenced the former ones.
    bool acceptServingOwner(const std::string &entry, Protocol::Partition partition, Protocol::Epoch epoch)
    {
        const bool accepted = acceptOwner(entry, partition, epoch);
        if (accepted) {
            unfenced_[partition].clear();
        }
        return accepted;
    }

    void raiseRevision(const std::string &team, std::uint64_t revision)
    {
        revisions_[team] = std::max(revisions_[team], revision);
    }

    bool areSettingsTooOld(const Protocol::StartTask &task)
    {
        return task.settingsRevision < revisions_[task.team] || task.rootRevision < revisions_[""];
    }

    void checkStart(const BackendStart &start)
    {
        const auto found = delivered_.find(start.key);
        require(found != delivered_.end() && !fenced_.contains(start.key), "attempt started that was fenced or never requested", start.key);
        const DeliveredStart &delivery = found->second;
        require(delivery.refusal.empty(), "attempt started although it must be refused: " + delivery.refusal, start.key);
        require(!draining && backend == BackendState::Serving, "attempt started while draining or without a serving backend server", start.key);
        require(!areSettingsTooOld(delivery.task), "attempt started with outdated settings", start.key);
        require(started_.insert(start.key).second, "attempt started twice", start.key);
        require(!refused_.contains(start.key), "attempt started after its refusal", start.key);
        for (const auto &[key, running] : running_) {
            require(key.task != start.key.task, "two attempts of one task run at once", start.key);
        }
        running_[start.key] = {now_, now_, false};
        checkLease(start.key, start.leaseMs);
    }

    void checkLease(const Base::AttemptKey &key, std::uint32_t leaseMs)
    {
        require(started_.contains(key), "lease of a task that was not started", key);
        const auto found = running_.find(key);
        if (found == running_.end()) {
            return; // the task has ended, but the agent may not know yet
        }
        Running &running = found->second;
        require(!running.stopped, "lease renewed after the stop", key);
        running.leaseEnd = now_ + std::chrono::milliseconds(leaseMs);
        const DeliveredStart &delivery = delivered_.at(key);
        if (delivery.task.idempotent) {
            require(running.leaseEnd <= newestEcho(delivery) + Protocol::leaseDuration + 1ms,
                    "lease extends beyond the newest echo of an owner, or of one that is not fenced, plus the lease duration",
                    key);
        }
    }

    Base::MonoTime newestEcho(const DeliveredStart &delivery)
    {
        const Base::MonoTime echoed = echoes_[owners_[delivery.task.partition].entry];
        const bool sameOwner = ownerChanges_[delivery.task.partition] == delivery.ownerChange;
        Base::MonoTime newest = sameOwner ? std::max(echoed, Base::MonoTime(delivery.token.agentMonoUs)) : echoed;
        // A former owner starts the task elsewhere once it has not echoed for long enough, unless it is fenced.
        for (const std::string &former : unfenced_[delivery.task.partition]) {
            newest = std::min(newest, echoes_[former]);
        }
        return newest;
    }

    void checkReply(const SendToEntry &sent)
    {
        const auto *updates = std::get_if<Protocol::TaskUpdates>(&sent.reply);
        if (updates == nullptr) {
            const auto &reply = std::get<Protocol::FenceReply>(sent.reply);
            for (const Protocol::AttemptRecord &record : reply.records) {
                checkUpdate(sent.entry, record.update);
            }
            return;
        }
        for (const Protocol::TaskUpdate &update : updates->updates) {
            checkUpdate(sent.entry, update);
        }
    }

    void checkUpdate(const std::string &entry, const Protocol::TaskUpdate &update)
    {
        if (update.state == AttemptState::Queued || update.state == AttemptState::Running) {
            require(!ended_.contains(update.key), "ended attempt reported as live", update.key);
            return;
        }
        const auto [first, isNew] = ended_.emplace(update.key, update.state);
        require(isNew || first->second == update.state, "attempt reported with two different ends", update.key);
        const auto delivery = delivered_.find(update.key);
        if (delivery != delivered_.end() && owners_[delivery->second.task.partition].entry == entry) {
            reported_.insert(update.key);
        }
        if (update.state == AttemptState::Refused) {
            refused_.insert(update.key);
        }
    }

    void checkRunning()
    {
        for (const auto &[key, running] : running_) {
            const DeliveredStart &delivery = delivered_.at(key);
            const Protocol::StartTask &task = delivery.task;
            const bool over = task.limitMs != 0 && now_ - running.startedAt >= std::chrono::milliseconds(task.limitMs);
            require(running.stopped || !over, "run time limit exceeded", key);
            const bool leaseOver = task.idempotent && now_ >= newestEcho(delivery) + Protocol::leaseDuration;
            require(running.stopped || !leaseOver, "task not stopped at the end of its lease", key);
        }
    }

    void checkSlots() const
    {
        std::size_t longTasks = 0;
        for (const auto &[key, running] : running_) {
            longTasks += delivered_.at(key).task.expectedMs > 1000 ? 1U : 0U;
        }
        require(running_.size() <= slots_, "more tasks than slots", {});
        require(longTasks <= static_cast<std::size_t>(slots_ - reserved_), "long task on a reserved slot", {});
    }

    std::string seed_;
    std::uint16_t slots_;
    std::uint16_t reserved_;
    Base::MonoTime now_{};
    std::map<Protocol::Partition, PartitionOwner> owners_;
    std::map<Protocol::Partition, int> ownerChanges_;
    std::map<Protocol::Partition, std::set<std::string>> unfenced_; ///< Former owners that may still have authority
    Protocol::RevisionMap revisions_;
    std::map<std::string, Base::MonoTime> echoes_;
    std::map<Base::AttemptKey, DeliveredStart> delivered_;
    std::set<Base::AttemptKey> fenced_;
    std::set<Base::AttemptKey> started_;
    std::set<Base::AttemptKey> refused_;
    std::map<Base::AttemptKey, AttemptState> ended_;
    std::set<Base::AttemptKey> reported_;
    std::map<Base::AttemptKey, Running> running_;
};

} // namespace LaburnumFlow::Agent
