#include "rulesfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode::Testing;
using namespace std::chrono_literals;

namespace {

constexpr Base::Duration changeBound = 2s; ///< within which a change has to be in force at each entry
constexpr std::size_t bytesPerMegabit = 125'000;
constexpr std::size_t readersOfTheStore = 2; ///< entries that may receive the whole document
constexpr Base::Duration minSilenceInterval = 5s; ///< between two lost answers of the store to the same entry

std::vector<std::size_t> mixedLinks()
{
    return {2 * bytesPerMegabit, 2 * bytesPerMegabit, 20 * bytesPerMegabit, 20 * bytesPerMegabit, 200 * bytesPerMegabit, 200 * bytesPerMegabit};
}

/// Returns the bytes that each entry receives during twenty changes of one route each, in descending order.
std::vector<std::size_t> bytesOfChanges(std::size_t routes)
{
    RulesFleet fleet(mixedLinks(), routes, 1);
    fleet.run(20s);
    std::vector<std::size_t> before;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        before.push_back(fleet.receivedBytes(i));
    }
    for (int i = 0; i < 20; ++i) {
        fleet.change();
        fleet.run(1s);
    }
    std::vector<std::size_t> bytes;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        bytes.push_back(fleet.receivedBytes(i) - before[i]);
    }
    std::sort(bytes.begin(), bytes.end(), std::greater<>());
    return bytes;
}

} // namespace

/// Tests that new rules reach all entries in time, over links of different bandwidth.
class TestRulesSpread : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRulesSpread);
    CPPUNIT_TEST(changesOfAGrowingDocumentReachThinLinksInTime);
    CPPUNIT_TEST(bytesOfAChangeDontGrowWithTheDocument);
    CPPUNIT_TEST(entriesThatAreCutOffFromTheOthersReadTheStore);
    CPPUNIT_TEST(restartsOfTheReadersDelayNoChange);
    CPPUNIT_TEST(readersWithoutTheStoreDelayNoChange);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against old rules at entries whose links carry the whole document more slowly than it changes, while answers of the store are lost and it
    /// forgets its history.
    void changesOfAGrowingDocumentReachThinLinksInTime()
    {
        constexpr unsigned seeds = 20;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            RulesFleet fleet(mixedLinks(), 40, seed);
            std::vector<Base::Duration> silentFor(fleet.size(), minSilenceInterval);
            for (int second = 0; second < 40; ++second) {
                const bool grows = second % 10 == 5;
                fleet.change(grows ? 1400 : 0);
                disturb(fleet, silentFor);
                fleet.run(1s);
            }
            const auto delayMs = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.longestDelay()).count();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + std::to_string(delayMs) + " ms", fleet.longestDelay() <= changeBound);
            fleet.run(changeBound);
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                CPPUNIT_ASSERT(fleet.isCurrent(i));
            }
        }
    }

    /// Guards against changes of one route that cost each entry a transfer of all routes.
    void bytesOfAChangeDontGrowWithTheDocument()
    {
        const std::size_t small = bytesOfChanges(100)[readersOfTheStore];
        const std::size_t large = bytesOfChanges(5600)[readersOfTheStore];
        CPPUNIT_ASSERT_MESSAGE(std::to_string(small) + " and " + std::to_string(large) + " bytes", large <= 2 * small);
    }

    /// Guards against an entry that reaches the store but none of the entries that pass changes on, and waits for these.
    void entriesThatAreCutOffFromTheOthersReadTheStore()
    {
        for (std::size_t cutOff = 2; cutOff < 6; ++cutOff) {
            RulesFleet fleet(mixedLinks(), 1400, 1);
            for (int second = 0; second < 30; ++second) {
                fleet.setCutOff(cutOff, second >= 5 && second < 20);
                fleet.change();
                fleet.run(1s);
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(cutOff), fleet.longestDelay() <= changeBound);
        }
    }

    /// Guards against a change that is lost with the readers: both restart, in turn or at once, around each change.
    void restartsOfTheReadersDelayNoChange()
    {
        constexpr unsigned seeds = 10;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            RulesFleet fleet(mixedLinks(), 400, seed);
            const std::size_t readers[] = {4, 5};
            for (int second = 0; second < 20; ++second) {
                fleet.change();
                fleet.run(std::chrono::milliseconds(fleet.random() % 100));
                fleet.restart(readers[fleet.random() % 2]);
                if (fleet.random() % 3 == 0) {
                    fleet.restart(readers[0]);
                    fleet.restart(readers[1]);
                }
                fleet.run(2s);
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), fleet.longestDelay() <= changeBound);
        }
    }

    /// Guards against entries that reach the store and follow readers which don't: all calls of the readers get no answer for seconds, and their silence is
    /// noticed only at the end of a call.
    void readersWithoutTheStoreDelayNoChange()
    {
        constexpr unsigned seeds = 10;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            RulesFleet fleet({2 * bytesPerMegabit, 20 * bytesPerMegabit, 20 * bytesPerMegabit, 200 * bytesPerMegabit, 200 * bytesPerMegabit}, 400, seed);
            for (int round = 0; round < 5; ++round) {
                fleet.run(std::chrono::milliseconds(5000 + fleet.random() % 1000));
                for (int tick = 0; tick < 400; ++tick) {
                    fleet.silenceStoreCall(3);
                    fleet.silenceStoreCall(4);
                    if (tick % 100 == 0) {
                        fleet.change();
                    }
                    fleet.run(10ms);
                    for (std::size_t i = 0; i < 3; ++i) {
                        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), fleet.delay(i) <= changeBound);
                    }
                }
            }
        }
    }

private:
    /// Loses answers of the store and its history at random, once in minSilenceInterval for each entry.
    static void disturb(RulesFleet &fleet, std::vector<Base::Duration> &silentFor)
    {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            silentFor[i] += 1s;
            if (silentFor[i] >= minSilenceInterval && fleet.random() % 4 == 0) {
                fleet.silenceStoreCall(i);
                silentFor[i] = {};
            }
        }
        if (fleet.random() % 8 == 0) {
            fleet.dropHistory();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRulesSpread);
