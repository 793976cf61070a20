#pragma once

#include "harness.h"

#include <cstdint>
#include <vector>

/// Maps of a few entries, and entries that serve them, for the tests of membership and takeovers.
namespace LaburnumFlow::ClusterTest {

const Protocol::EntryRecord a = entryRecord("ea");
const Protocol::EntryRecord b = entryRecord("eb");
const Protocol::EntryRecord c = entryRecord("ec");

/// Returns a map in which the entries own all partitions.
Protocol::PartitionMap makeMap(const std::vector<Protocol::EntryRecord> &entries, Protocol::Epoch epoch = 10);

/// Returns an entry "ea" that serves its partitions of the map, which the store holds at revision 1.
Entry servingEntry(const std::vector<Protocol::EntryRecord> &entries);

/// Advances the time while the given members send heartbeats, then reads the map.
void advanceWithHeartbeats(Entry &entry, const std::vector<Protocol::EntryRecord> &senders, std::int64_t milliseconds);

} // namespace LaburnumFlow::ClusterTest
