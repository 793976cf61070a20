#pragma once

#include "base/types.h"

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace LaburnumFlow::Protocol {

constexpr std::uint16_t partitionCount = 256;

using Partition = std::uint16_t;
using Epoch = std::uint64_t;

/// Returns the partition of a submission. It depends on the team and the ordering key if there is one, else on the submission id.
Partition partitionForSubmission(const Base::Uuid &submission, std::string_view team, std::string_view orderingKey);

/// A process of an entry, as listed in the partition map.
struct EntryRecord {
    Base::ProcessId id;
    Base::Endpoint http;
    Base::Endpoint peer; ///< for TCP and UDP, which use the same port number
    std::string failureDomain;

    bool operator==(const EntryRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, http, peer, failureDomain);
    }
};

/// Members of an earlier map, whose authority is not yet known to have ended.
struct UnfencedSet {
    Epoch epoch = 0;
    std::vector<EntryRecord> entries;

    bool operator==(const UnfencedSet &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, entries);
    }
};

/// The owner of each partition. The map is kept in the platform's store and changed by compare-and-swap only.
struct PartitionMap {
    Epoch epoch = 0;
    std::vector<EntryRecord> entries;
    std::array<std::uint16_t, partitionCount> owner{}; ///< owner of each partition, as an index into entries
    std::vector<UnfencedSet> unfenced;
    std::vector<std::string> confirmedDead; ///< entries ("name/incarnation") that an operator confirmed as dead
    std::string writeId; ///< unique id of the write; read back to find out whether a write took effect whose response was lost

    bool operator==(const PartitionMap &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, entries, owner, unfenced, confirmedDead, writeId);
    }
};

/// A reading of an agent's steady clock, which entries echo. It proves to the agent how recently an entry has received a message from it.
struct ClockToken {
    std::uint64_t agentIncarnation = 0;
    std::int64_t agentMonoUs = 0; ///< steady clock of the agent at sending, in microseconds

    auto operator<=>(const ClockToken &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(agentIncarnation, agentMonoUs);
    }
};

enum class AgentState : std::uint8_t {
    Active,
    Draining, ///< finishes its tasks and accepts no new ones
    Leaving, ///< about to exit, or its backend server is
};

std::string_view toString(AgentState state);

/// An agent's load when it was sent.
struct AgentLoad {
    std::uint16_t slots = 0;
    std::uint16_t running = 0;
    std::uint16_t queued = 0;
    std::uint16_t runningLongTasks = 0; ///< running tasks that have exceeded the run time of the short class
    std::uint32_t queuedWorkMs = 0; ///< expected run time of the queued tasks at this agent's speed
    float speed = 1.0F; ///< estimated speed relative to the fleet's reference; 2 is twice as fast

    bool operator==(const AgentLoad &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(slots, running, queued, runningLongTasks, queuedWorkMs, speed);
    }
};

} // namespace LaburnumFlow::Protocol
