#include "rules/tabledelta.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Rules;

namespace {

QueueRoute route(const std::string &host, const std::string &prefix, const std::string &queue = "q")
{
    return {{host, prefix}, {queue, "service", 0, 1, 1.0, 0, {}}};
}

/// Returns a path of up to five segments of one letter, so that many paths begin alike.
std::string randomPath(std::mt19937 &random)
{
    std::string path = "/";
    for (std::size_t segments = random() % 6; segments > 0; --segments) {
        path += static_cast<char>('a' + random() % 3);
        path += random() % 4 == 0 ? "" : "/";
    }
    return path;
}

RouteTable randomTable(std::mt19937 &random, std::uint64_t version)
{
    std::vector<QueueRoute> routes;
    for (std::size_t i = random() % 60; i > 0; --i) {
        routes.push_back(route("h" + std::to_string(random() % 3), randomPath(random), "q" + std::to_string(random() % 50)));
    }
    return makeRouteTable(version, std::move(routes));
}

const QueueRoute *scan(const RouteTable &table, const std::string &host, const std::string &path)
{
    const QueueRoute *best = nullptr;
    for (const QueueRoute &candidate : table.routes) {
        const bool matches = candidate.key.host == host && path.starts_with(candidate.key.prefix);
        if (matches && (best == nullptr || candidate.key.prefix.size() > best->key.prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

} // namespace

/// Tests the routes of callers' requests and the changes from one version to the next.
class TestRouteTable : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRouteTable);
    CPPUNIT_TEST(findAgreesWithAScanOfAllRoutes);
    CPPUNIT_TEST(firstOfRoutesWithTheSameKeyCounts);
    CPPUNIT_TEST(changesLeadFromOneTableToTheOther);
    CPPUNIT_TEST(changesOfAnotherTableAreRefused);
    CPPUNIT_TEST(changesThatMissTheirDigestAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request that goes to the queue of a shorter prefix, or of another host, or finds no queue.
    void findAgreesWithAScanOfAllRoutes()
    {
        for (unsigned seed = 1; seed <= 300; ++seed) {
            std::mt19937 random(seed);
            const RouteTable table = randomTable(random, 1);
            for (int i = 0; i < 200; ++i) {
                const std::string host = "h" + std::to_string(random() % 4);
                const std::string path = randomPath(random);
                const std::string message = "seed " + std::to_string(seed) + ", path " + path;
                CPPUNIT_ASSERT_MESSAGE(message, table.find(host + ":80", path) == scan(table, host, path));
            }
        }
    }

    /// Guards against entries that serve a request by different rows of the same document.
    void firstOfRoutesWithTheSameKeyCounts()
    {
        const RouteTable table = makeRouteTable(1, {route("h", "/p/", "first"), route("a", "/"), route("h", "/p/", "second")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.routes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("first"), table.find("h", "/p/x")->rules.name);
    }

    /// Guards against routes that stay, are missing or keep former rules after an update.
    void changesLeadFromOneTableToTheOther()
    {
        for (unsigned seed = 1; seed <= 300; ++seed) {
            std::mt19937 random(seed);
            const RouteTable from = randomTable(random, 1);
            const RouteTable to = randomTable(random, 2);
            const auto applied = applyDelta(from, difference(from, to));
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), applied && applied->id == to.id && applied->routes == to.routes);
        }
    }

    /// Guards against a mixture of two versions.
    void changesOfAnotherTableAreRefused()
    {
        const RouteTable first = makeRouteTable(1, {route("h", "/a/")});
        const RouteTable sameVersion = makeRouteTable(1, {route("h", "/b/")});
        const RouteTable next = makeRouteTable(2, {route("h", "/a/"), route("h", "/c/")});
        CPPUNIT_ASSERT(!applyDelta(sameVersion, difference(first, next)));
        CPPUNIT_ASSERT(!applyDelta(next, difference(first, next)));
    }

    /// Guards against an incomplete update that is taken for the new version.
    void changesThatMissTheirDigestAreRefused()
    {
        const RouteTable first = makeRouteTable(1, {route("h", "/a/")});
        const RouteTable next = makeRouteTable(2, {route("h", "/b/"), route("h", "/c/")});
        TableDelta delta = difference(first, next);
        delta.written.pop_back();
        CPPUNIT_ASSERT(!applyDelta(first, delta));
        delta = difference(first, next);
        delta.removed.clear();
        CPPUNIT_ASSERT(!applyDelta(first, delta));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRouteTable);
