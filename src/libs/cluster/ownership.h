#pragma once

#include "clusterstate.h"

#include <span>
#include <string>

/// Functions over partition maps, and what the authority of this entry rests on.
namespace LaburnumFlow::Cluster::Internal {

/// Returns the index of the entry with the highest hash of its name and the partition (rendezvous hashing), so that an entry that joins or leaves moves only
/// its own partitions. \a entries must not be empty.
std::uint16_t rendezvousOwner(std::span<const Protocol::EntryRecord> entries, Protocol::Partition partition);

/// Sets the owner of each partition by rendezvousOwner().
void assignOwners(Protocol::PartitionMap &map);

/// Returns the owner of the partition, or null if the map names none.
const Protocol::EntryRecord *ownerRecord(const Protocol::PartitionMap &map, Protocol::Partition partition);
bool owns(const Protocol::PartitionMap &map, const Base::ProcessId &id, Protocol::Partition partition);
/// Returns the member of that name, or null.
const Protocol::EntryRecord *memberNamed(const Protocol::PartitionMap &map, std::string_view name);
bool isMember(const Protocol::PartitionMap &map, const Base::ProcessId &id);

/// Returns whether the unfenced sets of the newer map prove that the process owned the partition in every epoch from the older map's to the newer map's.
bool ownedContinuously(const Protocol::PartitionMap &older, const Protocol::PartitionMap &newer, const Base::ProcessId &id, Protocol::Partition partition);

/// Returns "name/incarnation", the form of PartitionMap::confirmedDead.
std::string formatProcessId(const Base::ProcessId &id);

/// Returns whether a store call that was started less than maxConfirmationAge ago has confirmed the map.
bool confirmedByStore(const ClusterState &state);

/// Returns whether a majority of the map's members, including this entry, know no newer map and have echoed a heartbeat of this entry that is younger than
/// maxEchoAge.
bool backedByMajority(const ClusterState &state);

} // namespace LaburnumFlow::Cluster::Internal
