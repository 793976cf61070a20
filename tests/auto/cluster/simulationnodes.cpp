#include "simulation.h"

#include "protocol/protocolconstants.h"

#include <algorithm>

// The part of the simulation for the store and the agents.
namespace LaburnumFlow::ClusterTest {

Base::Uuid uuidFromSubmissionId(std::uint64_t id)
{
    Base::Uuid uuid;
    for (std::size_t i = 0; i < 8; ++i) {
        uuid.bytes[8 + i] = static_cast<std::uint8_t>(id >> (8 * i));
    }
    return uuid;
}

std::uint64_t submissionIdFromUuid(const Base::Uuid &uuid)
{
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < 8; ++i) {
        id |= static_cast<std::uint64_t>(uuid.bytes[8 + i]) << (8 * i);
    }
    return id;
}

void Simulation::readStore(std::size_t entry)
{
    Events::MapRead read;
    read.sentAt = clock(entries_[entry]);
    const bool down = storeDownUntil_ > now_ || isCutOffFromStore(entry) || (faultsEnabled_ && chance(0.02));
    at(networkDelay(), [this, entry, down, read]() mutable {
        read.ok = !down;
        read.map = stored_;
        read.modRevision = storedRevision_;
        at(down ? second : networkDelay(), [this, entry, read] { deliver(entry, read); });
    });
}

void Simulation::writeStore(std::size_t entry, const Events::WriteMap &write)
{
    Events::MapWritten written;
    written.sentAt = clock(entries_[entry]);
    written.map = write.map;
    const bool down = storeDownUntil_ > now_ || isCutOffFromStore(entry);
    const bool answerLost = faultsEnabled_ && chance(0.25);
    // A write whose response was lost may still take effect after its caller has given up.
    at(answerLost ? between(millisecond, 3 * second) : networkDelay(),
       [this, entry, written, down, answerLost, expected = write.expectedModRevision]() mutable {
           written.outcome = down ? Events::SwapOutcome::Refused : Events::SwapOutcome::Conflict;
           if (!down && storedRevision_ == expected) {
               stored_ = written.map;
               written.modRevision = ++storedRevision_;
               written.outcome = Events::SwapOutcome::Written;
           }
           if (!answerLost) {
               at(networkDelay(), [this, entry, written] { deliver(entry, written); });
           }
       });
    if (answerLost) {
        written.outcome = Events::SwapOutcome::Unknown;
        at(second, [this, entry, written] { deliver(entry, written); });
    }
}

Protocol::ClockToken Simulation::currentToken(const AgentProcess &agent) const
{
    return {agent.id.incarnation, agent.clockOffset + now_};
}

void Simulation::agentHeartbeats()
{
    for (std::size_t j = 0; j < agents_.size(); ++j) {
        if (!agents_[j].alive || agents_[j].suspendedUntil > now_) {
            continue;
        }
        Protocol::AgentHeartbeat heartbeat;
        heartbeat.from = agents_[j].id;
        heartbeat.token = currentToken(agents_[j]);
        for (const EntryProcess &entry : entries_) {
            if (entry.alive) {
                sendDatagram({true, j}, entry.state.self.peer, heartbeat);
            }
        }
    }
}

void Simulation::agentRequest(std::size_t entry, std::size_t agent, const Protocol::AgentRequest &request)
{
    AgentProcess &process = agents_[agent];
    if (process.suspendedUntil > now_) {
        at(process.suspendedUntil - now_, [this, entry, agent, request] { agentRequest(entry, agent, request); });
        return;
    }
    const auto *query = std::get_if<Protocol::FenceQuery>(&request);
    if (query == nullptr || !process.alive) {
        return;
    }
    Protocol::FenceReply reply;
    reply.epoch = query->epoch;
    reply.token = currentToken(process);
    for (const Protocol::Partition partition : query->partitions) {
        process.epochs.at(partition) = std::max(process.epochs.at(partition), query->epoch);
    }
    for (const auto &[id, partition] : process.ledger) {
        reply.records.emplace_back();
        reply.records.back().update.key.task.submission = uuidFromSubmissionId(id);
        reply.records.back().partition = partition;
    }
    const Events::AgentReplyReceived received{process.id, reply};
    sendOnLink({true, agent}, {false, entry}, [this, entry, received] { deliver(entry, received); });
}

/// Checks the token and epoch of a start as an agent does, and that no submission is started twice.
void Simulation::agentStart(std::size_t agent, const StartMessage &start)
{
    AgentProcess &process = agents_[agent];
    if (process.suspendedUntil > now_) {
        at(process.suspendedUntil - now_, [this, agent, start] { agentStart(agent, start); });
        return;
    }
    const Protocol::Partition partition = start.submission.partition;
    const Protocol::ClockToken token = currentToken(process);
    const bool fresh
        = start.token.agentIncarnation == token.agentIncarnation && Base::Duration(token.agentMonoUs - start.token.agentMonoUs) < Protocol::maxTokenAge;
    if (!process.alive || !fresh || start.epoch < process.epochs.at(partition)) {
        return;
    }
    process.epochs.at(partition) = start.epoch;
    process.ledger.emplace(start.submission.id, partition);
    if (!startedIds_.insert(start.submission.id).second) {
        recordViolation("submission " + std::to_string(start.submission.id) + " of partition " + std::to_string(partition) + " started twice");
    }
    const auto &[epoch, ledger] = gained_[partition];
    if (epoch > start.epoch && !ledger.contains(start.submission.id)) {
        recordViolation("a start of epoch " + std::to_string(start.epoch) + " was accepted after the takeover of epoch " + std::to_string(epoch));
    }
}

} // namespace LaburnumFlow::ClusterTest
