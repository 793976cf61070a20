#pragma once

#include "routetable.h"

#include <optional>
#include <vector>

namespace LaburnumFlow::Rules {

/// The change from one route table to another.
struct TableDelta {
    TableId from;
    TableId to;
    std::vector<QueueRoute> written; ///< added or changed routes, sorted by key
    std::vector<RouteKey> removed; ///< sorted

    bool operator==(const TableDelta &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, to, written, removed);
    }
};

TableDelta difference(const RouteTable &from, const RouteTable &to);

/// Returns the table to which the change leads. Returns nothing if it begins at another table, or if the result doesn't have the digest of the change.
std::optional<RouteTable> applyDelta(const RouteTable &table, const TableDelta &delta);

} // namespace LaburnumFlow::Rules
