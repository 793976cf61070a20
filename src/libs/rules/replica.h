#pragma once

#include "deltalog.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace LaburnumFlow::Rules {

/// An entry's copy of the route table. It only ever moves to newer versions.
class Replica
{
public:
    enum class UpdateResult : std::uint8_t {
        Applied,
        Outdated, ///< the table already has this version or a newer one
        Mismatch, ///< the update begins at another table, or is malformed; a complete one is needed
    };

    /// Returns the table in force, or null before the first one.
    const RouteTable *table() const
    {
        return table_ ? &*table_ : nullptr;
    }

    /// Returns the id of the table in force, or that of the empty table.
    TableId id() const
    {
        return table_ ? table_->id : TableId{};
    }

    /// Adopts a table if it is newer than the one in force. Returns whether it is.
    bool adopt(RouteTable table);

    /// Applies the result of updateSince() of another replica as a whole, or not at all.
    UpdateResult apply(std::span<const std::uint8_t> update);

    /// Returns the update that leads from a table to the one in force. It is complete if this replica doesn't know that table.
    const std::vector<std::uint8_t> &updateSince(const TableId &base);

private:
    /// The latest result of updateSince(), as many entries ask for the same one.
    struct EncodedUpdate {
        TableId base;
        TableId to;
        std::vector<std::uint8_t> bytes;
    };

    std::optional<RouteTable> table_;
    DeltaLog log_;
    std::optional<EncodedUpdate> encoded_;
};

} // namespace LaburnumFlow::Rules
