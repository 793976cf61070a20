#include "rules/replica.h"
#include "rules/rulesconstants.h"
#include "rules/updatecodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Rules;

namespace {

using UpdateResult = Replica::UpdateResult;

/// Returns a table with the given number of routes, whose queues have the version as target.
RouteTable table(std::uint64_t version, std::size_t routes)
{
    std::vector<QueueRoute> rows;
    for (std::size_t i = 0; i < routes; ++i) {
        const std::string number = std::to_string(i);
        // Only one route changes from one version to the next.
        rows.push_back({{"h", "/" + number + "/"}, {"q" + number, "service", 0, 1, 1.0, i == version % routes ? static_cast<std::uint32_t>(version) : 0, {}}});
    }
    return makeRouteTable(version, std::move(rows));
}

} // namespace

/// Tests an entry's copy of the rules and the updates that it passes on.
class TestReplica : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestReplica);
    CPPUNIT_TEST(followsAnotherReplicaByItsChanges);
    CPPUNIT_TEST(firstUpdateIsComplete);
    CPPUNIT_TEST(replicaThatIsTooFarBehindGetsACompleteUpdate);
    CPPUNIT_TEST(olderVersionsAreNotAdopted);
    CPPUNIT_TEST(replicaWithOtherRoutesOfTheSameVersionGetsACompleteUpdate);
    CPPUNIT_TEST(updateOfASourceWithoutRulesIsRefused);
    CPPUNIT_TEST(damagedUpdatesChangeNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against changes that are lost on the way from one entry to the next, and against updates as large as the document.
    void followsAnotherReplicaByItsChanges()
    {
        constexpr std::size_t routes = 1000;
        Replica source;
        Replica follower;
        source.adopt(table(1, routes));
        CPPUNIT_ASSERT(follower.apply(source.updateSince(follower.id())) == UpdateResult::Applied);
        for (std::uint64_t version = 2; version < 60; ++version) {
            source.adopt(table(version, routes));
            if (version % 3 != 0) {
                const std::vector<std::uint8_t> update = source.updateSince(follower.id());
                CPPUNIT_ASSERT(update.size() < 2000);
                CPPUNIT_ASSERT(follower.apply(update) == UpdateResult::Applied);
                CPPUNIT_ASSERT(follower.table()->routes == source.table()->routes);
            }
        }
    }

    /// Guards against an entry that has no rules and can't be given any, also by a source that has never seen another version.
    void firstUpdateIsComplete()
    {
        Replica source;
        source.adopt(table(7, 20));
        Replica follower;
        CPPUNIT_ASSERT(follower.apply(source.updateSince({})) == UpdateResult::Applied);
        CPPUNIT_ASSERT(follower.id() == source.id());
    }

    /// Guards against an entry that stays behind for good after a source has dropped the changes it lacks.
    void replicaThatIsTooFarBehindGetsACompleteUpdate()
    {
        Replica source;
        Replica follower;
        source.adopt(table(1, 10));
        follower.adopt(table(1, 10));
        source.adopt(table(2, maxLoggedRows + 20));
        source.adopt(table(3, maxLoggedRows + 20));
        CPPUNIT_ASSERT(follower.apply(source.updateSince(follower.id())) == UpdateResult::Applied);
        CPPUNIT_ASSERT(follower.id() == source.id());
    }

    /// Guards against rules that revert.
    void olderVersionsAreNotAdopted()
    {
        Replica source;
        source.adopt(table(1, 10));
        source.adopt(table(2, 10));
        const std::vector<std::uint8_t> late = source.updateSince({});
        Replica follower;
        follower.adopt(table(3, 10));
        CPPUNIT_ASSERT(follower.apply(late) == UpdateResult::Outdated);
        CPPUNIT_ASSERT(!follower.adopt(table(2, 10)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), follower.id().version);
    }

    /// Guards against an entry whose rules differ from those of the source although their version is the same.
    void replicaWithOtherRoutesOfTheSameVersionGetsACompleteUpdate()
    {
        Replica source;
        source.adopt(table(1, 10));
        source.adopt(table(2, 10));
        Replica follower;
        follower.adopt(table(1, 11));
        CPPUNIT_ASSERT(follower.apply(source.updateSince(follower.id())) == UpdateResult::Applied);
        CPPUNIT_ASSERT(follower.table()->routes == source.table()->routes);
    }

    /// Guards against an entry that loses its rules to one that has just started.
    void updateOfASourceWithoutRulesIsRefused()
    {
        Replica source;
        Replica follower;
        follower.adopt(table(1, 10));
        CPPUNIT_ASSERT(follower.apply(source.updateSince(follower.id())) == UpdateResult::Mismatch);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), follower.id().version);
    }

    /// Guards against a damaged message that ends the process or changes the rules.
    void damagedUpdatesChangeNothing()
    {
        Replica source;
        source.adopt(table(1, 50));
        source.adopt(table(2, 50));
        const std::vector<std::uint8_t> update = source.updateSince(table(1, 50).id);
        std::mt19937 random(1);
        for (int i = 0; i < 2000; ++i) {
            std::vector<std::uint8_t> damaged = update;
            damaged.resize(random() % 3 == 0 ? random() % damaged.size() : damaged.size());
            if (!damaged.empty()) {
                damaged[random() % damaged.size()] ^= static_cast<std::uint8_t>(1 + random() % 255);
            }
            Replica follower;
            follower.adopt(table(1, 50));
            const UpdateResult result = follower.apply(damaged);
            // A damaged byte of the compression's header may not matter.
            CPPUNIT_ASSERT(result == UpdateResult::Mismatch || follower.table()->routes == source.table()->routes);
        }
        CPPUNIT_ASSERT(!decodeUpdate({}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestReplica);
