#include "ownerchangemodel.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace LaburnumFlow::EntryNode::Testing {

namespace {

constexpr Base::Duration tick = 5ms;
constexpr std::size_t agentCount = 3;

Base::WallTime wallAt(Base::MonoTime now)
{
    return Base::WallTime(1'000'000 + now.count() / 1000);
}

} // namespace

OwnerChangeModel::OwnerChangeModel(std::uint64_t seed, ModelOptions options) : random_(seed), options_(options)
{
    entries_.resize(3 + randomIndex(3));
    for (NodeIndex index = 0; index < entries_.size(); ++index) {
        const auto port = static_cast<std::uint16_t>(7000 + index);
        entries_[index].record = {"entry-" + std::to_string(index), 0, {"10.0.0.1", port}, 25};
        startEntry(index);
    }
    agents_.resize(agentCount);
    for (NodeIndex index = firstAgent; index < firstAgent + agentCount; ++index) {
        agentAt(index).name = "agent-" + std::to_string(index - firstAgent);
        agentAt(index).state = TaskAgent::makeAgent(now_);
        sendWorkerHeartbeat(index);
        dialEntries(index);
    }
    nextJobAt_ = now_ + 1s;
    nextFaultAt_ = now_ + 2s;
}

void OwnerChangeModel::run(Base::Duration time)
{
    const Base::MonoTime end = now_ + time;
    for (Base::MonoTime step = now_ + tick; step <= end; step += tick) {
        while (!events_.empty() && events_.begin()->first <= step) {
            auto event = events_.extract(events_.begin());
            now_ = std::max(now_, event.key());
            event.mapped()();
        }
        now_ = step;
        runTimers();
        updateCallers();
        updateCancellations();
        if (now_ >= nextFaultAt_) {
            beginFault();
        }
    }
}

Base::Duration OwnerChangeModel::randomTime(Base::Duration from, Base::Duration to)
{
    return Base::Duration(from.count() + static_cast<std::int64_t>(randomIndex(static_cast<std::size_t>((to - from).count()) + 1)));
}

std::size_t OwnerChangeModel::randomIndex(std::size_t count)
{
    return static_cast<std::size_t>(random_() % count);
}

bool OwnerChangeModel::chance(double share)
{
    return static_cast<double>(random_() % 10'000) < share * 10'000;
}

void OwnerChangeModel::post(Base::Duration delay, Action action)
{
    events_.emplace(now_ + delay, std::move(action));
}

void OwnerChangeModel::postToEntry(Base::Duration delay, NodeIndex index, Action action)
{
    const std::uint64_t incarnation = entries_[index].record.incarnation;
    post(delay, [this, index, incarnation, action = std::move(action)] { deliverToEntry(index, incarnation, action); });
}

/// Events wait while the entry stands still, and are lost when it is killed.
void OwnerChangeModel::deliverToEntry(NodeIndex index, std::uint64_t incarnation, const Action &action)
{
    Entry &entry = entries_[index];
    if (!entry.up || entry.record.incarnation != incarnation) {
        return;
    }
    // Messages on a link don't overtake each other, also if the entry stands still again.
    if (now_ < entry.standsStillUntil || !entry.held.empty()) {
        if (entry.held.empty()) {
            post(std::max<Base::Duration>(entry.standsStillUntil - now_, Base::Duration(1)), [this, index, incarnation] { releaseHeld(index, incarnation); });
        }
        entry.held.push_back(action);
        return;
    }
    action();
}

/// Delivers what has waited for the entry, in order.
void OwnerChangeModel::releaseHeld(NodeIndex index, std::uint64_t incarnation)
{
    Entry &entry = entries_[index];
    if (!entry.up || entry.record.incarnation != incarnation) {
        return;
    }
    if (now_ < entry.standsStillUntil) {
        post(entry.standsStillUntil - now_, [this, index, incarnation] { releaseHeld(index, incarnation); });
        return;
    }
    for (const Action &action : std::exchange(entry.held, {})) {
        action();
    }
}

void OwnerChangeModel::postTo(Base::Duration delay, NodeIndex node, Action action)
{
    if (node < firstAgent) {
        postToEntry(delay, node, std::move(action));
    } else {
        post(delay, [this, node, action = std::move(action)] { deliverToAgent(node, action); });
    }
}

void OwnerChangeModel::note(const std::string &text)
{
    log_ += std::to_string(now_.count() / 1000) + " " + text + "\n";
}

void OwnerChangeModel::noteDecision(const std::string &node, const std::string &event, const std::vector<std::pair<std::string, std::string>> &fields)
{
    std::string text = node + ' ' + event;
    for (const auto &[key, value] : fields) {
        text += ' ';
        text += key;
        text += '=';
        text += value;
    }
    note(text);
}

void OwnerChangeModel::violate(const std::string &text)
{
    if (!text.empty()) {
        violations_ += std::to_string(now_.count() / 1000) + " " + text + "\n";
        note(text);
    }
}

void OwnerChangeModel::violateEndRule(const std::string &text)
{
    violate(text);
    endViolations_ += text.empty() ? "" : text + '\n';
}

void OwnerChangeModel::runTimers()
{
    for (NodeIndex index = 0; index < entries_.size(); ++index) {
        const Entry &entry = entries_[index];
        if (!entry.up || now_ < entry.standsStillUntil) {
            continue;
        }
        if (const auto due = nextDue(entry.ownership); due && *due <= now_) {
            feedOwnership(index, TimePassed{now_});
        }
        const auto ownerDue = entry.owner ? Jobs::nextDue(*entry.owner) : std::nullopt;
        if (ownerDue && *ownerDue <= now_) {
            feedOwner(index, Jobs::TimePassed{now_, wallAt(now_)});
        }
    }
    for (NodeIndex index = firstAgent; index < firstAgent + agentCount; ++index) {
        const Agent &agent = agentAt(index);
        if (now_ < agent.standsStillUntil || !agent.held.empty()) {
            continue;
        }
        if (const auto due = TaskAgent::nextDue(agent.state); due && *due <= now_) {
            feedAgent(index, TaskAgent::TimePassed{now_});
        }
    }
}

void OwnerChangeModel::startEntry(NodeIndex index)
{
    Entry &entry = entries_[index];
    const Jobs::EntryRecord former = entry.record;
    entry = Entry{};
    entry.record = former;
    ++entry.record.incarnation;
    entry.ownership = makeOwnership(entry.record, 1s, now_);
    postToEntry(1ms, index, [this, index] { feedOwnership(index, TimePassed{now_}); });
}

void OwnerChangeModel::feedOwnership(NodeIndex index, const OwnershipEvent &event)
{
    for (const OwnershipEffect &effect : reduce(entries_[index].ownership, TimePassed{now_})) {
        carryOut(index, effect);
    }
    for (const OwnershipEffect &effect : reduce(entries_[index].ownership, event)) {
        carryOut(index, effect);
    }
}

void OwnerChangeModel::feedOwner(NodeIndex index, const Jobs::OwnerEvent &event)
{
    std::optional<Jobs::OwnerState> &owner = entries_[index].owner;
    if (!owner) {
        return;
    }
    Jobs::OwnerEffects effects = Jobs::reduce(*owner, Jobs::TimePassed{now_, wallAt(now_)});
    if (!std::holds_alternative<Jobs::TimePassed>(event)) {
        Jobs::OwnerEffects more = Jobs::reduce(*owner, event);
        std::move(more.begin(), more.end(), std::back_inserter(effects));
    }
    for (Jobs::OwnerEffect &effect : effects) {
        // An earlier effect may have ended the ownership.
        if (owner || std::holds_alternative<Jobs::Reply>(effect)) {
            carryOut(index, effect);
        }
    }
}

void OwnerChangeModel::stepDown(NodeIndex index, const std::string &reason)
{
    Entry &entry = entries_[index];
    if (!entry.owner && entry.ownership.mode != OwnershipState::Mode::Loading) {
        return;
    }
    note(entry.record.name + " steps down: " + reason);
    entry.owner.reset();
    feedOwnership(index, SteppedDown{});
}

/// Returns the owner's jobs, as read from the store when it loaded them.
Jobs::StoredJobs OwnerChangeModel::loadedJobs(const Entry &entry, const BeginOwning &begin)
{
    Jobs::StoredJobs jobs{begin.record, begin.revision, {}, {}};
    for (const auto &[key, value] : entry.loaded) {
        if (key.starts_with(Jobs::jobPrefix)) {
            if (auto pack = Jobs::decodeJobPack(value)) {
                jobs.packs.push_back({key, std::move(*pack)});
            }
        } else if (key.starts_with(Jobs::finishedPrefix)) {
            if (auto segment = Jobs::decodeFinishedSegment(value)) {
                jobs.finished.push_back({key, std::move(*segment)});
            }
        }
    }
    return jobs;
}

void OwnerChangeModel::beginOwning(NodeIndex index, const BeginOwning &begin)
{
    Entry &entry = entries_[index];
    note(entry.record.name + " owns the jobs, epoch " + std::to_string(begin.record.epoch));
    ++takeovers_;
    entry.owner = Jobs::takeOver(loadedJobs(entry, begin), now_, wallAt(now_));
    feedOwner(index, Jobs::EntriesChanged{entry.endpoints});
    for (const auto &[agent, link] : std::map(entry.agentLinks)) {
        feedOwner(index, Jobs::AgentLinked{agentAt(agent).name});
    }
}

OwnerChangeModel::NodeIndex OwnerChangeModel::entryIndex(const std::string &name) const
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [&name](const Entry &entry) { return entry.record.name == name; });
    return static_cast<NodeIndex>(found - entries_.begin());
}

void OwnerChangeModel::carryOut(NodeIndex index, const OwnershipEffect &effect)
{
    Entry &entry = entries_[index];
    const std::string name = entry.record.name;
    if (std::holds_alternative<ReadCluster>(effect)) {
        callStore(index, ClusterRead{}, [this] { return ClusterRead{readCluster()}; });
    } else if (const auto *grant = std::get_if<GrantLease>(&effect)) {
        callStore(index, LeaseGranted{}, [this, ttl = grant->ttl] {
            store_.leases[++store_.lastLease] = now_ + ttl;
            return LeaseGranted{store_.lastLease};
        });
    } else if (const auto *renew = std::get_if<RenewLease>(&effect)) {
        callStore(index, LeaseRenewed{}, [this, lease = renew->lease] {
            if (!isLeaseValid(lease)) {
                return LeaseRenewed{LeaseRenewed::Outcome::Expired};
            }
            store_.leases[lease] = now_ + 1s;
            return LeaseRenewed{LeaseRenewed::Outcome::Renewed};
        });
    } else if (const auto *write = std::get_if<WritePresence>(&effect)) {
        callStore(index, PresenceWritten{}, [this, write = *write] {
            if (!isLeaseValid(write.lease)) {
                return PresenceWritten{PresenceWritten::Outcome::LeaseExpired};
            }
            store_.presence[write.record.name] = {write.lease, write.record};
            return PresenceWritten{PresenceWritten::Outcome::Written};
        });
    } else if (const auto *claim = std::get_if<Claim>(&effect)) {
        callStore(index, ClaimEnded{ClaimEnded::Outcome::Refused, 0}, [this, claim = *claim] { return executeClaim(claim); });
    } else if (const auto *confirmers = std::get_if<WriteConfirmers>(&effect)) {
        callStore(index, ConfirmersWritten{ConfirmersWritten::Outcome::Refused, 0}, [this, write = *confirmers] { return executeWrite(write); });
    } else if (std::holds_alternative<FormerOwnersFenced>(effect)) {
        feedOwner(index, Jobs::FormerOwnersFenced{});
    } else if (std::holds_alternative<LoadJobs>(effect)) {
        callStore(index, JobsLoaded{false}, [this, index] {
            entries_[index].loaded = store_.jobs;
            return JobsLoaded{true};
        });
    } else if (const auto *begin = std::get_if<BeginOwning>(&effect)) {
        beginOwning(index, *begin);
    } else if (const auto *lost = std::get_if<OwnershipLost>(&effect)) {
        stepDown(index, "epoch " + std::to_string(lost->epoch));
    } else if (const auto *renewed = std::get_if<AuthorityRenewed>(&effect)) {
        feedOwner(index, Jobs::AuthorityRenewed{renewed->until, renewed->confirmedByStore, renewed->storeConfirmedAt});
    } else if (const auto *dial = std::get_if<DialPeer>(&effect)) {
        dialPeer(index, dial->name);
    } else if (const auto *disconnect = std::get_if<DisconnectPeer>(&effect)) {
        entry.peerLinks.erase(disconnect->name);
    } else if (const auto *beat = std::get_if<SendHeartbeat>(&effect)) {
        const auto link = entry.peerLinks.find(beat->name);
        if (link != entry.peerLinks.end()) {
            const NodeIndex peer = entryIndex(beat->name);
            send(link->second, peer, [this, peer, id = link->second, name, heartbeat = beat->heartbeat] {
                entries_[peer].entryLinks[name] = id;
                feedOwnership(peer, PeerHeartbeat{name, heartbeat});
            });
        }
    } else if (const auto *reply = std::get_if<SendHeartbeatReply>(&effect)) {
        const NodeIndex peer = entryIndex(reply->name);
        send(entry.entryLinks[reply->name], peer, [this, peer, name, what = reply->reply] { feedOwnership(peer, PeerHeartbeatReply{name, what}); });
    } else if (const auto *endpoints = std::get_if<EntryEndpointsChanged>(&effect)) {
        entry.endpoints = endpoints->entries;
        feedOwner(index, Jobs::EntriesChanged{entry.endpoints});
    } else if (const auto *decision = std::get_if<OwnershipDecision>(&effect)) {
        noteDecision(name, decision->event, decision->fields);
    }
}

void OwnerChangeModel::carryOut(NodeIndex index, Jobs::OwnerEffect &effect)
{
    Entry &entry = entries_[index];
    if (const auto *reply = std::get_if<Jobs::Reply>(&effect)) {
        handleReply(*reply);
    } else if (auto *orders = std::get_if<Jobs::SendOrders>(&effect)) {
        const auto found
            = std::find_if(entry.agentLinks.begin(), entry.agentLinks.end(), [&](const auto &link) { return agentAt(link.first).name == orders->agent; });
        if (found != entry.agentLinks.end()) {
            const auto agent = found->first;
            const auto link = found->second;
            send(link, agent, [this, agent, link, what = std::move(orders->orders)] {
                feedAgent(agent, TaskAgent::OrdersArrived{std::to_string(link), what});
            });
        }
    } else if (const auto *start = std::get_if<Jobs::StartCommit>(&effect)) {
        commit(index, start->commit);
    } else if (const auto *decision = std::get_if<Jobs::Decision>(&effect)) {
        noteDecision(entry.record.name, decision->event, decision->fields);
    } else if (const auto *stepDownEffect = std::get_if<Jobs::StepDown>(&effect)) {
        stepDown(index, "seen epoch " + std::to_string(stepDownEffect->seenEpoch));
    }
}

} // namespace LaburnumFlow::EntryNode::Testing
