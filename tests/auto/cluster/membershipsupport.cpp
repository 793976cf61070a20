#include "membershipsupport.h"

#include "cluster/ownership.h"

#include <cppunit/TestAssert.h>

namespace LaburnumFlow::ClusterTest {

using namespace Cluster;

Protocol::PartitionMap makeMap(const std::vector<Protocol::EntryRecord> &entries, Protocol::Epoch epoch)
{
    Protocol::PartitionMap map;
    map.epoch = epoch;
    map.entries = entries;
    map.writeId = "w" + std::to_string(epoch);
    Internal::assignOwners(map);
    return map;
}

Entry servingEntry(const std::vector<Protocol::EntryRecord> &entries)
{
    Entry entry("ea");
    const Protocol::PartitionMap map = makeMap(entries);
    entry.read(map, 1);
    for (int i = 0; i < 100; ++i) { // until the takeover has finished that a map of unknown age requires
        for (const Protocol::EntryRecord &each : entries) {
            if (each.id != a.id) {
                entry.receiveHeartbeat(each, map.epoch);
            }
        }
        entry.advance(50);
    }
    entry.read(map, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), entry.countPartitions(Authority::Recovering));
    entry.clearRecorded();
    return entry;
}

void advanceWithHeartbeats(Entry &entry, const std::vector<Protocol::EntryRecord> &senders, std::int64_t milliseconds)
{
    const Protocol::PartitionMap map = *entry.state.map;
    for (std::int64_t passed = 0; passed < milliseconds; passed += 50) {
        for (const Protocol::EntryRecord &each : senders) {
            entry.receiveHeartbeat(each, map.epoch);
        }
        entry.advance(50);
    }
    entry.read(map, 1);
}

} // namespace LaburnumFlow::ClusterTest
