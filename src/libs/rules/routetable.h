#pragma once

#include "jobs/job.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Routes from callers' requests to queues, and how entries pass changes of them on to each other.
namespace LaburnumFlow::Rules {

/// Host and path prefix under which callers reach a queue.
struct RouteKey {
    std::string host;
    std::string prefix; ///< path prefix

    auto operator<=>(const RouteKey &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(host, prefix);
    }
};

/// A route and the rules of its queue.
struct QueueRoute {
    RouteKey key;
    Jobs::QueueRules rules;

    bool operator==(const QueueRoute &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, rules);
    }
};

/// Identifies the content of a table.
struct TableId {
    std::uint64_t version = 0; ///< 0 for the empty table that precedes all versions
    std::uint64_t digest = 0; ///< of the routes

    bool operator==(const TableId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, digest);
    }
};

/// All routes of one version of the rules.
struct RouteTable {
    TableId id;
    std::vector<QueueRoute> routes; ///< sorted by key; each key occurs once

    /// Returns the route of the host with the longest prefix of the path, or null if none matches. A port in host is ignored.
    const QueueRoute *find(std::string_view host, std::string_view path) const;
};

/// Returns the table of the routes. The first of several routes with the same key counts.
RouteTable makeRouteTable(std::uint64_t version, std::vector<QueueRoute> routes);

/// Returns the contribution of a route to the digest of its table, which is the sum over all routes.
std::uint64_t routeDigest(const QueueRoute &route);

} // namespace LaburnumFlow::Rules
