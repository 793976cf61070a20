#pragma once

#include "clusterstate.h"

#include <span>
#include <string>

/// Pure functions over partition maps, and the authority of this entry.
namespace LaburnumFlow::Cluster::Internal {

/// Index of the entry with the highest hash of its name and the partition, so that a joining or leaving entry moves
/// only its own partitions. entries must not be empty.
std::uint16_t rendezvousOwner(std::span<const Protocol::EntryRecord> entries, Protocol::Partition partition);

/// Sets the owners of all partitions from the entries.
void assignOwners(Protocol::PartitionMap &map);

const Protocol::EntryRecord *ownerRecord(const Protocol::PartitionMap &map, Protocol::Partition partition);
bool owns(const Protocol::PartitionMap &map, const Base::ProcessId &id, Protocol::Partition partition);
const Protocol::EntryRecord *memberNamed(const Protocol::PartitionMap &map, std::string_view name);
bool isMember(const Protocol::PartitionMap &map, const Base::ProcessId &id);

/// True if the entry owned the partition in every epoch from the older map's to the newer's, as far as the unfenced
/// sets of the newer one prove it.
bool ownedContinuously(const Protocol::PartitionMap &older, const Protocol::PartitionMap &newer, const Base::ProcessId &id, Protocol::Partition partition);

/// The form of confirmedDead.
std::string formatProcessId(const Base::ProcessId &id);

/// 4.2 (a).
bool confirmedByStore(const ClusterState &state);

/// 4.2 (b).
bool backedByMajority(const ClusterState &state);

} // namespace LaburnumFlow::Cluster::Internal
