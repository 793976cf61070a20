#include "simulation.h"

#include "protocol/protocolconstants.h"

#include <algorithm>

namespace LaburnumFlow::ClusterTest {

namespace {

constexpr Microseconds tick = 25 * millisecond;
constexpr Microseconds wallOrigin = 1'800'000'000 * second;

} // namespace

Simulation::Simulation(std::uint64_t seed, std::size_t entries, std::size_t agents, Partitions partitions) : random_(seed), partitions_(partitions)
{
    for (std::size_t i = 0; i < entries; ++i) {
        seedEndpoints_.push_back({"h", static_cast<std::uint16_t>(nextPort_ + i)});
    }
    for (std::size_t i = 0; i < entries; ++i) {
        addEntry("e" + std::to_string(i), nextPort_++);
    }
    for (std::size_t i = 0; i < agents; ++i) {
        addAgent("a" + std::to_string(i), static_cast<std::uint16_t>(30'000 + i));
    }
}

std::size_t Simulation::addEntry(const std::string &name, std::uint16_t port)
{
    EntryProcess entry;
    Cluster::ClusterConfig config;
    config.self.id = {name, nextIncarnation_++};
    config.self.peer = {"h", port};
    config.seedEndpoints = seedEndpoints_;
    config.seed = random_();
    entry.state = Cluster::initialState(config);
    entry.clockOffset = between(0, 1000 * second);
    entry.clockRate = 1.0 + static_cast<double>(between(-30, 30)) / 1000;
    entry.wallOffset = between(-200, 200) * millisecond;
    entries_.push_back(std::move(entry));
    return entries_.size() - 1;
}

std::size_t Simulation::addAgent(const std::string &name, std::uint16_t port)
{
    AgentProcess agent;
    agent.id = {name, nextIncarnation_++};
    agent.port = port;
    agent.clockOffset = between(second, 1000 * second);
    agents_.push_back(std::move(agent));
    return agents_.size() - 1;
}

bool Simulation::chance(double probability)
{
    return static_cast<double>(random_() % 1'000'000) < probability * 1e6;
}

Microseconds Simulation::between(Microseconds low, Microseconds high)
{
    return low + static_cast<Microseconds>(random_() % static_cast<std::uint64_t>(high - low + 1));
}

Base::MonoTime Simulation::clock(const EntryProcess &entry) const
{
    return Base::MonoTime(entry.clockOffset + static_cast<Microseconds>(static_cast<double>(now_) * entry.clockRate));
}

void Simulation::recordViolation(const std::string &what)
{
    if (violation_.empty()) {
        violation_ = "at " + std::to_string(now_ / millisecond) + " ms: " + what;
    }
}

void Simulation::at(Microseconds delay, std::function<void()> action)
{
    queue_.emplace(now_ + delay, std::move(action));
}

void Simulation::run(Microseconds faultyPeriod, Microseconds recoveryTimeout)
{
    while (now_ < faultyPeriod && violation_.empty()) {
        injectFault();
        step();
    }
    faultsEnabled_ = false;
    loss_ = 0;
    storeDownUntil_ = 0;
    blockedUntil_.clear();
    split_.until = 0;
    const Microseconds end = now_ + recoveryTimeout;
    while (violation_.empty() && !allServed()) {
        if (now_ > end) {
            recordViolation("partitions are not served after the faults ended\n" + summary());
        }
        if ((now_ / tick) % 200 == 0) {
            confirmDeadEntries();
        }
        step();
    }
}

std::string Simulation::summary() const
{
    std::string text;
    for (const EntryProcess &entry : entries_) {
        if (!entry.alive) {
            continue;
        }
        for (const Events::StatusRow &row : Cluster::statusRows(entry.state)) {
            text += entry.state.self.id.name + ": " + row.section + " " + row.name;
            for (const auto &[key, value] : row.values) {
                text.append(" ").append(key).append("=").append(value);
            }
            text += '\n';
        }
    }
    return text;
}

void Simulation::step()
{
    const Microseconds next = now_ + tick;
    while (!queue_.empty() && queue_.begin()->first <= next) {
        auto first = queue_.extract(queue_.begin());
        now_ = std::max(now_, first.key());
        first.mapped()();
    }
    now_ = next;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].alive && entries_[i].suspendedUntil <= now_) {
            passTime(i);
            for (const Events::Event &event : std::exchange(entries_[i].inbox, {})) {
                handle(i, event);
            }
        }
    }
    checkLinks();
    checkServing();
    if ((now_ / tick) % 10 == 0) {
        agentHeartbeats();
    }
    submit();
}

void Simulation::passTime(std::size_t entry)
{
    const Base::WallTime wall((wallOrigin + now_ + entries_[entry].wallOffset) / millisecond);
    handle(entry, Events::TimePassed{clock(entries_[entry]), wall});
}

void Simulation::deliver(std::size_t entry, const Events::Event &event)
{
    if (!entries_[entry].alive) {
        return;
    }
    if (entries_[entry].suspendedUntil > now_) {
        entries_[entry].inbox.push_back(event);
        return;
    }
    passTime(entry);
    handle(entry, event);
}

void Simulation::handle(std::size_t entry, const Events::Event &event)
{
    const Cluster::Step step = Cluster::reduce(entries_[entry].state, event);
    for (const Events::Effect &effect : step.effects) {
        performEffect(entry, effect);
    }
    for (const Cluster::Change &change : step.changes) {
        applyChange(entry, change);
    }
}

void Simulation::performEffect(std::size_t entry, const Events::Effect &effect)
{
    const Node self{false, entry};
    if (const auto *datagram = std::get_if<Events::SendDatagram>(&effect)) {
        sendDatagram(self, datagram->to, datagram->datagram);
    } else if (const auto *connectPeer = std::get_if<Events::ConnectPeer>(&effect)) {
        const auto other = entryNamed(connectPeer->peer.name);
        if (other && entries_[*other].state.self.id == connectPeer->peer) {
            connect({false, std::min(entry, *other)}, {false, std::max(entry, *other)});
        }
    } else if (const auto *connectAgent = std::get_if<Events::ConnectAgent>(&effect)) {
        const auto other = agentNamed(connectAgent->agent.name);
        if (other && agents_[*other].id == connectAgent->agent) {
            connect(self, {true, *other});
        }
    } else if (const auto *sendPeer = std::get_if<Events::SendToPeer>(&effect)) {
        if (const auto other = entryNamed(sendPeer->peer)) {
            const Events::PeerMessageReceived received{entries_[entry].state.self.id, sendPeer->message};
            sendOnLink(self, {false, *other}, [this, to = *other, received] { deliver(to, received); });
        }
    } else if (const auto *sendAgent = std::get_if<Events::SendToAgent>(&effect)) {
        if (const auto other = agentNamed(sendAgent->agent)) {
            sendOnLink(self, {true, *other}, [this, entry, to = *other, request = sendAgent->request] { agentRequest(entry, to, request); });
        }
    } else if (std::holds_alternative<Events::ReadMap>(effect)) {
        readStore(entry);
    } else if (const auto *write = std::get_if<Events::WriteMap>(&effect)) {
        writeStore(entry, *write);
    }
}

/// Updates the ledger as dispatch does.
void Simulation::applyChange(std::size_t entry, const Cluster::Change &change)
{
    EntryProcess &process = entries_[entry];
    if (const auto *gained = std::get_if<Cluster::PartitionsGained>(&change)) {
        for (const Protocol::Partition partition : gained->partitions) {
            gained_[partition] = {process.state.map->epoch, process.ledger[partition]};
        }
        ++takeovers_;
    } else if (const auto *lost = std::get_if<Cluster::PartitionsLost>(&change)) {
        for (const Protocol::Partition partition : lost->partitions) {
            process.ledger.erase(partition);
        }
    } else if (const auto *recovered = std::get_if<Cluster::AttemptsRecovered>(&change)) {
        for (const Protocol::AttemptRecord &record : recovered->records) {
            process.ledger[record.partition].insert(submissionIdFromUuid(record.update.key.task.submission));
        }
    } else if (const auto *received = std::get_if<Cluster::LedgerReceived>(&change)) {
        ++handovers_;
        for (const Protocol::LedgerRecord &record : received->records) {
            process.ledger[record.partition].insert(submissionIdFromUuid(record.submission));
        }
    } else if (const auto *due = std::get_if<Cluster::HandoverDue>(&change)) {
        Protocol::LedgerHandover handover;
        handover.from = process.state.self.id;
        handover.epoch = process.state.map->epoch;
        handover.partitions = due->partitions;
        for (const Protocol::Partition partition : due->partitions) {
            for (const std::uint64_t id : process.ledger[partition]) {
                handover.records.emplace_back();
                handover.records.back().submission = uuidFromSubmissionId(id);
                handover.records.back().partition = partition;
            }
        }
        performEffect(entry, Events::SendToPeer{due->newOwner, handover});
    }
}

bool Simulation::isAlive(Node node) const
{
    return node.first ? agents_[node.second].alive : entries_[node.second].alive;
}

bool Simulation::isBlocked(Node from, Node to) const
{
    const auto found = blockedUntil_.find({from, to});
    const SplitNetwork::Side fromSide = sideOf(from);
    const SplitNetwork::Side toSide = sideOf(to);
    const bool split = fromSide != SplitNetwork::Side::Both && toSide != SplitNetwork::Side::Both && fromSide != toSide;
    return split || (found != blockedUntil_.end() && found->second > now_);
}

SplitNetwork::Side Simulation::sideOf(Node node) const
{
    const auto found = split_.sides.find(node.first ? agents_[node.second].id.name : entries_[node.second].state.self.id.name);
    return split_.until <= now_ || found == split_.sides.end() ? SplitNetwork::Side::Store : found->second;
}

bool Simulation::isCutOffFromStore(std::size_t entry) const
{
    return sideOf({false, entry}) == SplitNetwork::Side::Other;
}

Microseconds Simulation::networkDelay()
{
    return faultsEnabled_ && chance(0.02) ? between(100 * millisecond, 3 * second) : between(300, 5 * millisecond);
}

void Simulation::sendDatagram(Node from, const Base::Endpoint &to, const Protocol::Datagram &datagram)
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].alive && entries_[i].state.self.peer == to && !isBlocked(from, {false, i}) && !chance(loss_)) {
            at(networkDelay(), [this, i, datagram] { deliver(i, Events::DatagramReceived{{}, datagram}); });
        }
    }
}

void Simulation::sendOnLink(Node from, Node to, std::function<void()> action, Microseconds extraDelay)
{
    const bool forward = to.first || (!from.first && from < to);
    const auto link = links_.find(forward ? std::pair(from, to) : std::pair(to, from));
    if (link == links_.end() || isBlocked(from, to)) {
        return;
    }
    Microseconds &last = link->second.lastDelivery.at(forward ? 0 : 1);
    last = std::max(last, now_ + networkDelay() + extraDelay);
    at(last - now_, [this, to, action = std::move(action)] {
        if (isAlive(to)) {
            action();
        }
    });
}

void Simulation::connect(Node entry, Node other)
{
    if (entry == other || links_.contains({entry, other}) || isBlocked(entry, other) || isBlocked(other, entry) || !isAlive(other)) {
        return;
    }
    links_[{entry, other}] = {};
    at(networkDelay(), [this, entry, other] {
        if (links_.contains({entry, other})) {
            linkChanged(entry, other, true);
        }
    });
}

void Simulation::linkChanged(Node entry, Node other, bool up)
{
    if (other.first) {
        deliver(entry.second, Events::AgentLinkChanged{agents_[other.second].id, up});
        return;
    }
    deliver(entry.second, Events::PeerLinkChanged{entries_[other.second].state.self.id, up});
    deliver(other.second, Events::PeerLinkChanged{entries_[entry.second].state.self.id, up});
}

void Simulation::checkLinks()
{
    std::vector<std::pair<Node, Node>> broken;
    for (auto &[ends, link] : links_) {
        const auto &[entry, other] = ends;
        const bool silent = isBlocked(entry, other) || isBlocked(other, entry);
        link.blockedSince = !silent ? -1 : (link.blockedSince < 0 ? now_ : link.blockedSince);
        if (!isAlive(entry) || !isAlive(other) || (silent && now_ - link.blockedSince >= second)) {
            broken.push_back(ends);
        }
    }
    for (const auto &ends : broken) {
        links_.erase(ends);
        linkChanged(ends.first, ends.second, false);
    }
}

std::optional<std::size_t> Simulation::entryNamed(const std::string &name) const
{
    for (std::size_t i = entries_.size(); i-- > 0;) {
        if (entries_[i].alive && entries_[i].state.self.id.name == name) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> Simulation::agentNamed(const std::string &name) const
{
    for (std::size_t i = agents_.size(); i-- > 0;) {
        if (agents_[i].alive && agents_[i].id.name == name) {
            return i;
        }
    }
    return std::nullopt;
}

/// Submits new ids, and often earlier ones again, at every entry that runs.
void Simulation::submit()
{
    for (int i = 0; i < 3; ++i) {
        if (submissions_.empty() || chance(0.3)) {
            const Microseconds time = wallOrigin + now_ + between(-1500, 1500) * millisecond;
            submissions_.push_back({nextSubmission_++, static_cast<Protocol::Partition>(random_() % watchedPartitions), Base::WallTime(time / millisecond)});
        }
        const Submission &submission = submissions_[random_() % submissions_.size()];
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
            if (entries_[entry].alive && entries_[entry].suspendedUntil <= now_) {
                tryStart(entry, submission);
            }
        }
    }
}

void Simulation::tryStart(std::size_t entry, const Submission &submission)
{
    EntryProcess &process = entries_[entry];
    const Protocol::Partition partition = submission.partition;
    const bool inFuture = submission.time > process.state.wall + Protocol::maxClockSkew;
    if (inFuture || Cluster::authority(process.state, partition) != Cluster::Authority::Serving || process.ledger[partition].contains(submission.id)
        || !Cluster::isKnownUnstarted(process.state, partition, submission.time)) {
        return;
    }
    std::vector<const Cluster::AgentInfo *> reachable;
    for (const auto &[name, agent] : process.state.agents) {
        if (Cluster::acceptsWork(process.state, agent)) {
            reachable.push_back(&agent);
        }
    }
    if (reachable.empty()) {
        return;
    }
    const Cluster::AgentInfo &chosen = *reachable[random_() % reachable.size()];
    process.ledger[partition].insert(submission.id);
    const StartMessage start{process.state.map->epoch, chosen.token, submission};
    if (const auto agent = agentNamed(chosen.id.name)) {
        const Microseconds buffered = faultsEnabled_ && chance(0.1) ? between(500 * millisecond, 5 * second) : 0;
        sendOnLink(
            {false, entry}, {true, *agent}, [this, to = *agent, start] { agentStart(to, start); }, buffered);
    }
}

/// Checks that no two entries that aren't suspended serve the same partition.
void Simulation::checkServing()
{
    for (Protocol::Partition partition = 0; partition < watchedPartitions; ++partition) {
        int serving = 0;
        for (const EntryProcess &entry : entries_) {
            const bool running = entry.alive && entry.suspendedUntil <= now_;
            serving += running && Cluster::authority(entry.state, partition) == Cluster::Authority::Serving ? 1 : 0;
        }
        if (serving > 1) {
            recordViolation("two entries serve partition " + std::to_string(partition));
        }
    }
}

bool Simulation::allServed()
{
    for (Protocol::Partition partition = 0; partition < Protocol::partitionCount; ++partition) {
        const bool served = std::any_of(entries_.begin(), entries_.end(), [&](const EntryProcess &entry) {
            return entry.alive && entry.suspendedUntil <= now_ && Cluster::authority(entry.state, partition) == Cluster::Authority::Serving;
        });
        if (!served) {
            return false;
        }
    }
    return stored_ && stored_->unfenced.empty();
}

} // namespace LaburnumFlow::ClusterTest
