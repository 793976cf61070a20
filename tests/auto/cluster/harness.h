#pragma once

#include "cluster/cluster.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace LaburnumFlow::ClusterTest {

constexpr std::int64_t startWallMs = 1'800'000'000'000;

inline Protocol::EntryRecord entryRecord(const std::string &name, std::uint64_t incarnation = 1)
{
    Protocol::EntryRecord record;
    record.id = {name, incarnation};
    record.peer = {"h", static_cast<std::uint16_t>(name.back())};
    return record;
}

/// The cluster reducer of one entry. Records the effects and changes that its calls returned.
class Entry
{
public:
    explicit Entry(const std::string &name, bool embedded = false, std::uint64_t incarnation = 1)
    {
        Cluster::ClusterConfig config;
        config.self = entryRecord(name, incarnation);
        config.embeddedStore = embedded;
        state = Cluster::initialState(config);
        advance(0);
    }

    /// Advances both clocks in steps of 50 ms.
    void advance(std::int64_t milliseconds)
    {
        for (std::int64_t end = nowMs + milliseconds;;) {
            feed(Events::TimePassed{Base::MonoTime(nowMs * 1000), Base::WallTime(startWallMs + nowMs)});
            if (nowMs >= end) {
                return;
            }
            nowMs += std::min<std::int64_t>(50, end - nowMs);
        }
    }

    void feed(const Events::Event &event)
    {
        Cluster::Step step = Cluster::reduce(state, event);
        std::move(step.effects.begin(), step.effects.end(), std::back_inserter(effects));
        std::move(step.changes.begin(), step.changes.end(), std::back_inserter(changes));
    }

    void clearRecorded()
    {
        effects.clear();
        changes.clear();
    }

    void read(const std::optional<Protocol::PartitionMap> &map, std::int64_t modRevision, bool ok = true)
    {
        feed(Events::MapRead{state.now, ok, map, modRevision});
    }

    void answerWrite(Events::SwapOutcome outcome, std::int64_t modRevision = 0)
    {
        feed(Events::MapWritten{state.now, outcome, *state.mapWritePending, modRevision});
    }

    /// Receives a heartbeat of the peer that echoes a heartbeat sent echoAgeMs ago; a negative age means no echo.
    void receiveHeartbeat(const Protocol::EntryRecord &from, Protocol::Epoch epoch, std::int64_t echoAgeMs = 0, std::uint64_t digest = 0)
    {
        Protocol::EntryHeartbeat heartbeat;
        heartbeat.from = from;
        heartbeat.mapEpoch = epoch;
        heartbeat.sentMonoUs = nowMs + 1;
        heartbeat.settingsDigest = digest;
        heartbeat.to = state.self.id.name;
        heartbeat.echoIncarnation = echoAgeMs < 0 ? 0 : state.self.id.incarnation;
        heartbeat.echoMonoUs = (nowMs - echoAgeMs) * 1000;
        feed(Events::DatagramReceived{from.peer, heartbeat});
    }

    void receiveAgentHeartbeat(std::uint64_t incarnation = 1, Protocol::AgentState agentState = Protocol::AgentState::Active)
    {
        Protocol::AgentHeartbeat heartbeat;
        heartbeat.from = {"a", incarnation};
        heartbeat.token = {incarnation, nowMs + 1};
        heartbeat.state = agentState;
        feed(Events::DatagramReceived{{}, heartbeat});
    }

    void link(const Protocol::EntryRecord &peer, bool up = true)
    {
        feed(Events::PeerLinkChanged{peer.id, up});
    }

    void message(const Protocol::EntryRecord &from, const Protocol::PeerMessage &message)
    {
        feed(Events::PeerMessageReceived{from.id, message});
    }

    std::size_t countPartitions(Cluster::Authority authority) const
    {
        std::size_t n = 0;
        for (Protocol::Partition partition = 0; partition < Protocol::partitionCount; ++partition) {
            n += Cluster::authority(state, partition) == authority ? 1 : 0;
        }
        return n;
    }

    std::uint64_t counterValue(std::string_view counter) const
    {
        std::uint64_t n = 0;
        for (const auto *count : all<Events::Count>()) {
            n += count->counter == counter ? count->increment : 0;
        }
        return n;
    }

    /// Returns the effects or changes of a type since clearRecorded().
    template<class Type>
    std::vector<const Type *> all() const
    {
        std::vector<const Type *> found;
        collect(effects, found);
        collect(changes, found);
        return found;
    }

    /// Returns the messages of a type sent to peers since clearRecorded().
    template<class Message>
    std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (const auto *send : all<Events::SendToPeer>()) {
            if (const auto *message = std::get_if<Message>(&send->message)) {
                found.push_back(*message);
            }
        }
        return found;
    }

    Cluster::ClusterState state;
    std::int64_t nowMs = 1000;
    Events::Effects effects;
    std::vector<Cluster::Change> changes;

private:
    template<class Type, class... Alternatives>
    static void collect(const std::vector<std::variant<Alternatives...>> &values, std::vector<const Type *> &found)
    {
        if constexpr ((std::is_same_v<Type, Alternatives> || ...)) {
            for (const auto &value : values) {
                if (const auto *match = std::get_if<Type>(&value)) {
                    found.push_back(match);
                }
            }
        }
    }
};

} // namespace LaburnumFlow::ClusterTest
