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

/// The partition of a submission; a non-empty ordering key decides it together with the team.
Partition partitionForSubmission(const Base::Uuid &submission, std::string_view team, std::string_view orderingKey);

/// An entry as the partition map lists it.
struct EntryRecord {
    Base::ProcessId id;
    Base::Endpoint http;
    Base::Endpoint peer; ///< TCP and UDP, the same port number
    std::string failureDomain;

    bool operator==(const EntryRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, http, peer, failureDomain);
    }
};

/// Members of an earlier map that are not yet known to have lost their authority.
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

/// Who owns which partition. Kept in the platform's store and changed by compare-and-swap only.
struct PartitionMap {
    Epoch epoch = 0;
    std::vector<EntryRecord> entries;
    std::array<std::uint16_t, partitionCount> owner{}; ///< index into entries
    std::vector<UnfencedSet> unfenced;
    std::vector<std::string> confirmedDead; ///< entries ("name/incarnation") that an operator confirmed as dead
    std::string writeId; ///< unique id of the write, to settle a lost answer

    bool operator==(const PartitionMap &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, entries, owner, unfenced, confirmedDead, writeId);
    }
};

/// Issued by an agent from its own clock and echoed by entries; proves how recently the entry heard of the agent.
struct ClockToken {
    std::uint64_t agentIncarnation = 0;
    std::int64_t agentMonoUs = 0;

    auto operator<=>(const ClockToken &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(agentIncarnation, agentMonoUs);
    }
};

enum class AgentState : std::uint8_t {
    Active,
    Draining, ///< finishes what it has, takes nothing new
    Leaving, ///< about to exit or its backend server leaves
};

std::string_view toString(AgentState state);

/// An agent's load at one moment.
struct AgentLoad {
    std::uint16_t slots = 0;
    std::uint16_t running = 0;
    std::uint16_t queued = 0;
    std::uint16_t runningLongTasks = 0; ///< running tasks that have outlived the short class
    std::uint32_t queuedWorkMs = 0; ///< expected run time of what is queued, at this agent's speed
    float speed = 1.0F; ///< learned, relative to the fleet's reference; 2 runs twice as fast

    bool operator==(const AgentLoad &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(slots, running, queued, runningLongTasks, queuedWorkMs, speed);
    }
};

} // namespace LaburnumFlow::Protocol
