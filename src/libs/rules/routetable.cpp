#include "routetable.h"

#include "protocol/checkedcodec.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace LaburnumFlow::Rules {

namespace {

using Routes = std::vector<QueueRoute>;

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

/// Returns the first route of the host whose prefix sorts after the path.
Routes::const_iterator firstAfter(const Routes &routes, std::string_view host, std::string_view path)
{
    return std::upper_bound(routes.begin(), routes.end(), std::pair(host, path), [](const auto &sought, const QueueRoute &route) {
        return sought < std::pair<std::string_view, std::string_view>(route.key.host, route.key.prefix);
    });
}

std::size_t commonPrefixSize(std::string_view a, std::string_view b)
{
    return static_cast<std::size_t>(std::mismatch(a.begin(), a.end(), b.begin(), b.end()).first - a.begin());
}

} // namespace

const QueueRoute *RouteTable::find(std::string_view host, std::string_view path) const
{
    host = withoutPort(host);
    // All prefixes of the path sort before it. The last route that does so either is one of them, or shares a shorter prefix with the path, which any prefix
    // of the path in the table must be within.
    for (std::string_view sought = path;;) {
        const auto after = firstAfter(routes, host, sought);
        if (after == routes.begin() || std::prev(after)->key.host != host) {
            return nullptr;
        }
        const QueueRoute &candidate = *std::prev(after);
        const std::size_t common = commonPrefixSize(sought, candidate.key.prefix);
        if (common == candidate.key.prefix.size()) {
            return &candidate;
        }
        sought = sought.substr(0, common);
    }
}

RouteTable makeRouteTable(std::uint64_t version, std::vector<QueueRoute> routes)
{
    std::stable_sort(routes.begin(), routes.end(), [](const QueueRoute &a, const QueueRoute &b) { return a.key < b.key; });
    const auto end = std::unique(routes.begin(), routes.end(), [](const QueueRoute &a, const QueueRoute &b) { return a.key == b.key; });
    routes.erase(end, routes.end());
    const std::uint64_t digest
        = std::accumulate(routes.begin(), routes.end(), std::uint64_t(0), [](std::uint64_t sum, const QueueRoute &route) { return sum + routeDigest(route); });
    return {{version, digest}, std::move(routes)};
}

std::uint64_t routeDigest(const QueueRoute &route)
{
    const std::vector<std::uint8_t> bytes = Protocol::encodeValue(route);
    return XXH64(bytes.data(), bytes.size(), 0);
}

} // namespace LaburnumFlow::Rules
