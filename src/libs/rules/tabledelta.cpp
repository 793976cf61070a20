#include "tabledelta.h"

#include <algorithm>

namespace LaburnumFlow::Rules {

namespace {

bool precedes(const QueueRoute &a, const QueueRoute &b)
{
    return a.key < b.key;
}

bool isSorted(const TableDelta &delta)
{
    return std::is_sorted(delta.written.begin(), delta.written.end(), precedes) && std::is_sorted(delta.removed.begin(), delta.removed.end());
}

bool isReplaced(const TableDelta &delta, const RouteKey &key)
{
    const auto written
        = std::lower_bound(delta.written.begin(), delta.written.end(), key, [](const QueueRoute &route, const RouteKey &sought) { return route.key < sought; });
    const bool isWritten = written != delta.written.end() && written->key == key;
    return isWritten || std::binary_search(delta.removed.begin(), delta.removed.end(), key);
}

} // namespace

TableDelta difference(const RouteTable &from, const RouteTable &to)
{
    TableDelta delta{from.id, to.id, {}, {}};
    auto old = from.routes.begin();
    for (const QueueRoute &route : to.routes) {
        for (; old != from.routes.end() && old->key < route.key; ++old) {
            delta.removed.push_back(old->key);
        }
        const bool hadKey = old != from.routes.end() && old->key == route.key;
        if (!hadKey || old->rules != route.rules) {
            delta.written.push_back(route);
        }
        old += hadKey ? 1 : 0;
    }
    std::transform(old, from.routes.end(), std::back_inserter(delta.removed), [](const QueueRoute &route) { return route.key; });
    return delta;
}

std::optional<RouteTable> applyDelta(const RouteTable &table, const TableDelta &delta)
{
    if (delta.from != table.id || !isSorted(delta)) {
        return std::nullopt;
    }
    std::uint64_t digest = table.id.digest;
    std::vector<QueueRoute> kept;
    kept.reserve(table.routes.size());
    for (const QueueRoute &route : table.routes) {
        if (isReplaced(delta, route.key)) {
            digest -= routeDigest(route);
        } else {
            kept.push_back(route);
        }
    }
    for (const QueueRoute &route : delta.written) {
        digest += routeDigest(route);
    }
    if (digest != delta.to.digest) {
        return std::nullopt;
    }
    RouteTable result{delta.to, {}};
    result.routes.reserve(kept.size() + delta.written.size());
    std::merge(std::make_move_iterator(kept.begin()),
               std::make_move_iterator(kept.end()),
               delta.written.begin(),
               delta.written.end(),
               std::back_inserter(result.routes),
               precedes);
    return result;
}

} // namespace LaburnumFlow::Rules
