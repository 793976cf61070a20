#include "modelagent.h"

#include "protocol/protocolconstants.h"

#include <algorithm>
#include <chrono>

namespace LaburnumFlow::DispatchTest {

using namespace std::chrono_literals;
using Protocol::AgentReason;
using Protocol::AttemptState;

void StartHistory::recordStart(const Protocol::StartTask &task, const StartRecord &record)
{
    auto &earlier = starts[task.key.task];
    for (const StartRecord &other : earlier) {
        if (other.attempt == record.attempt) {
            violations.emplace_back("an attempt started twice");
        }
        if (!other.idempotent || !record.idempotent) {
            violations.emplace_back("a task that is not idempotent started again");
        }
        if (other.endsAt > record.startedAt) {
            violations.emplace_back("an attempt started before the earlier one ended");
        }
    }
    earlier.push_back(record);
    const auto order = orderingKeys.find(task.key.task.submission);
    if (order == orderingKeys.end()) {
        return;
    }
    const std::uint64_t position = orderPosition[task.key.task];
    auto &sameKey = orders[order->second];
    for (const auto &[otherPosition, other] : sameKey) {
        if (otherPosition > position) {
            violations.emplace_back("an ordered task started after a later one");
        }
        if (otherPosition != position && other.endsAt > record.startedAt) {
            violations.emplace_back("an ordered task started before an earlier one ended");
        }
    }
    sameKey.emplace_back(position, record);
}

ModelAgent::ModelAgent(std::string name, std::uint16_t slots, StartHistory &history, std::mt19937_64 &random)
    : name_(std::move(name)), slots_(slots), history_(history), random_(random)
{
}

bool ModelAgent::isLive(const Entry &entry)
{
    return entry.update.state == AttemptState::Queued || entry.update.state == AttemptState::Running;
}

Protocol::AgentLoad ModelAgent::load() const
{
    Protocol::AgentLoad load;
    load.slots = slots_;
    load.running = static_cast<std::uint16_t>(running_.size());
    load.queued = static_cast<std::uint16_t>(queue_.size());
    return load;
}

void ModelAgent::report(const Protocol::TaskUpdate &update)
{
    updates_.push_back(update);
}

std::vector<Protocol::TaskUpdate> ModelAgent::takeUpdates()
{
    return std::exchange(updates_, {});
}

void ModelAgent::handle(const Protocol::AgentRequest &request, Base::MonoTime now)
{
    if (const auto *batch = std::get_if<Protocol::StartBatch>(&request)) {
        for (const Protocol::StartTask &task : batch->tasks) {
            accept(task, batch->token, now);
        }
    } else if (const auto *cancelTasks = std::get_if<Protocol::CancelTasks>(&request)) {
        for (const Base::AttemptKey &key : cancelTasks->keys) {
            cancel(key, now);
        }
    } else if (const auto *query = std::get_if<Protocol::QueryAttempts>(&request)) {
        for (const Base::AttemptKey &key : query->keys) {
            fence(key);
            report(entries_[key].update);
        }
    }
}

void ModelAgent::fence(const Base::AttemptKey &key)
{
    if (!entries_.contains(key)) {
        entries_[key].update = {key, AttemptState::Refused, AgentReason::Fenced, 0, {}};
    }
}

void ModelAgent::accept(const Protocol::StartTask &task, const Protocol::ClockToken &token, Base::MonoTime now)
{
    const auto known = entries_.find(task.key);
    if (known != entries_.end()) {
        report(known->second.update);
        return;
    }
    Entry &entry = entries_[task.key];
    entry.task = task;
    entry.deadline = now + std::chrono::milliseconds(task.remainingMs);
    entry.update = {task.key, AttemptState::Refused, AgentReason::None, 0, {}};
    if (token.agentIncarnation != incarnation_ || now - Base::MonoTime(token.agentMonoUs) > Protocol::maxTokenAge) {
        entry.update.reason = AgentReason::TokenTooOld;
    } else if (queue_.size() >= 3 || random_() % 20 == 0) {
        entry.update.reason = AgentReason::QueueFull;
    } else {
        entry.update.state = AttemptState::Queued;
        queue_.push_back(task.key);
    }
    report(entry.update);
    startQueued(now);
}

void ModelAgent::cancel(const Base::AttemptKey &key, Base::MonoTime now)
{
    fence(key);
    Entry &entry = entries_[key];
    if (entry.update.state == AttemptState::Queued) {
        std::erase(queue_, key);
        end(entry, AttemptState::Refused, AgentReason::Cancelled, now);
    } else if (entry.update.state == AttemptState::Running) {
        end(entry, AttemptState::Stopped, AgentReason::Cancelled, now);
    } else {
        report(entry.update);
    }
}

void ModelAgent::startQueued(Base::MonoTime now)
{
    while (running_.size() < slots_ && !queue_.empty()) {
        const Base::AttemptKey key = queue_.front();
        queue_.erase(queue_.begin());
        Entry &entry = entries_[key];
        if (now > entry.deadline) {
            end(entry, AttemptState::Refused, AgentReason::DeadlinePast, now);
            continue;
        }
        if (entry.task.idempotent && now - lastEcho_ > Protocol::leaseDuration) {
            end(entry, AttemptState::Refused, AgentReason::LeaseEnded, now);
            continue;
        }
        entry.endsAt = now + std::chrono::milliseconds(10 + random_() % (random_() % 10 == 0 ? 1500 : 150));
        entry.update.state = AttemptState::Running;
        running_.insert(key);
        StartRecord record{name_, key.attempt, now, Base::MonoTime::max(), entry.task.idempotent, entry.task.settingsRevision};
        history_.recordStart(entry.task, record);
        entry.historyIndex = history_.starts[key.task].size() - 1;
        report(entry.update);
    }
}

void ModelAgent::end(Entry &entry, AttemptState state, AgentReason reason, Base::MonoTime now)
{
    const bool ran = running_.erase(entry.update.key) > 0;
    entry.update.state = state;
    entry.update.reason = reason;
    entry.update.runMs = 50;
    entry.update.result = entry.task.payload;
    if (ran) {
        history_.starts[entry.update.key.task][entry.historyIndex].endsAt = now;
        for (auto &[key, records] : history_.orders) {
            for (auto &[position, record] : records) {
                if (position == history_.orderPosition[entry.update.key.task] && record.attempt == entry.update.key.attempt) {
                    record.endsAt = now;
                }
            }
        }
    }
    report(entry.update);
}

void ModelAgent::advance(Base::MonoTime now, Base::MonoTime lastEcho)
{
    if (!alive) {
        return;
    }
    lastEcho_ = lastEcho;
    const std::set<Base::AttemptKey> running = running_;
    for (const Base::AttemptKey &key : running) {
        Entry &entry = entries_[key];
        if (entry.endsAt <= now) {
            const bool fails = failing || random_() % 40 == 0;
            end(entry, fails ? AttemptState::Failed : AttemptState::Succeeded, fails ? AgentReason::BackendError : AgentReason::None, now);
        } else if (entry.task.idempotent && now - lastEcho > Protocol::leaseDuration) {
            end(entry, AttemptState::Stopped, AgentReason::LeaseEnded, now);
        }
    }
    startQueued(now);
}

void ModelAgent::crash(Base::MonoTime now, Base::MonoTime fencedAt)
{
    alive = false;
    const std::set<Base::AttemptKey> running = running_;
    for (const Base::AttemptKey &key : running) {
        Entry &entry = entries_[key];
        // Without renewal, the backend server runs an idempotent task until its lease ends, which is before the fencing.
        end(entry, AttemptState::Lost, AgentReason::BackendLost, entry.task.idempotent ? std::min(entry.endsAt, fencedAt) : entry.endsAt);
    }
    static_cast<void>(now);
    updates_.clear();
}

void ModelAgent::restart()
{
    alive = true;
    ++incarnation_;
    entries_.clear();
    queue_.clear();
    running_.clear();
    updates_.clear();
}

} // namespace LaburnumFlow::DispatchTest
