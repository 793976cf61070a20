#include "replica.h"

#include "updatecodec.h"

#include <utility>

namespace LaburnumFlow::Rules {

bool Replica::adopt(RouteTable table)
{
    if (table_ && table.id.version <= table_->id.version) {
        return false;
    }
    if (table_) {
        log_.add(difference(*table_, table));
    }
    table_ = std::move(table);
    return true;
}

Replica::UpdateResult Replica::apply(std::span<const std::uint8_t> update)
{
    auto deltas = decodeUpdate(update);
    if (!deltas || deltas->empty()) {
        return UpdateResult::Mismatch;
    }
    if (table_ && deltas->back().to.version <= table_->id.version) {
        return UpdateResult::Outdated;
    }
    const bool complete = deltas->front().from == TableId{};
    RouteTable next = complete || !table_ ? RouteTable{} : *table_;
    for (const TableDelta &delta : *deltas) {
        auto applied = applyDelta(next, delta);
        if (!applied) {
            return UpdateResult::Mismatch;
        }
        next = std::move(*applied);
    }
    if (complete) {
        adopt(std::move(next));
        return UpdateResult::Applied;
    }
    for (TableDelta &delta : *deltas) {
        log_.add(std::move(delta));
    }
    table_ = std::move(next);
    return UpdateResult::Applied;
}

const std::vector<std::uint8_t> &Replica::updateSince(const TableId &base)
{
    if (!encoded_ || encoded_->base != base || encoded_->to != id()) {
        const auto known = log_.since(base);
        const RouteTable none;
        const std::vector<TableDelta> complete = known || !table_ ? std::vector<TableDelta>{} : std::vector{difference(none, *table_)};
        encoded_ = EncodedUpdate{base, id(), encodeUpdate(known.value_or(complete))};
    }
    return encoded_->bytes;
}

} // namespace LaburnumFlow::Rules
