#include "fleet.h"
#include "waiting.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace SystemTest;

class TestStoreFaults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreFaults);
    CPPUNIT_TEST(servesThroughOutage);
    CPPUNIT_TEST(servesThroughSlowStore);
    CPPUNIT_TEST(minorityWithoutStoreSuspends);
    CPPUNIT_TEST(joinSurvivesLostAnswer);
    CPPUNIT_TEST(silentConnectionIsReplaced);
    CPPUNIT_TEST(lossyDatagrams);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a service that stops when the platform's store is down for longer than every bound on it.
    void servesThroughOutage()
    {
        Fleet fleet({.entries = 3});
        fleet.faultStore(R"({"down":true})");
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(6);
        int served = 0;
        while (std::chrono::steady_clock::now() < end) {
            const HttpResult answer = fleet.submit(served % 3, newId(), job("fold-preview", 2, 20));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200L, answer.status);
            ++served;
        }
        fleet.faultStore(R"({"down":false})");
        CPPUNIT_ASSERT(served > 0);
    }

    /// Guards against store calls that block the request path.
    void servesThroughSlowStore()
    {
        Fleet fleet({});
        fleet.faultStore(R"({"delayMs":5000})");
        for (int i = 0; i < 40; ++i) {
            const HttpResult answer = fleet.submit(i % 2, newId(), job("fold-preview", 1, 100));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200L, answer.status);
        }
        fleet.faultStore(R"({"delayMs":0})");
    }

    /// Guards against an entry that goes on alone, out of reach of the store and of the other entries, and starts what
    /// a new owner may start as well.
    void minorityWithoutStoreSuspends()
    {
        Fleet fleet({.entries = 3});
        fleet.faultStore(R"({"down":true})");
        fleet.entry(1).kill();
        fleet.entry(2).kill();
        // Under a caller's id the entry can't exclude that a new owner ran the job, so it may answer "unknown"; an id that
        // it makes itself is known to nobody else.
        HttpResult own;
        const bool suspended = waitFor(generousSeconds, [&] {
            own = call("POST", fleet.http(0), "/v1/teams/adire/jobs", job("fold-preview", 1, 1, 2'000));
            return own.json().value("reason", std::string()) == "owner-suspended";
        });
        CPPUNIT_ASSERT_MESSAGE(own.body, suspended);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(own.body, std::string("not-run"), own.json().value("outcome", std::string()));
        const std::string id = newId();
        CPPUNIT_ASSERT(fleet.submit(0, id, job("fold-preview", 1, 1, 2'000)).status != 200);
        CPPUNIT_ASSERT(fleet.startsOf(id).empty());
        fleet.faultStore(R"({"down":false})");
        CPPUNIT_ASSERT(fleet.waitServing(0, generousSeconds));
    }

    /// Guards against an entry that takes the lost answer to its compare-and-swap for a refusal or writes twice.
    void joinSurvivesLostAnswer()
    {
        Fleet fleet({});
        fleet.entry(1).kill();
        CPPUNIT_ASSERT(fleet.waitServing(0, generousSeconds));
        fleet.faultStore(R"({"loseAnswers":1})");
        fleet.startEntry(1);
        fleet.waitReady();
    }

    /// Guards against requests that hang on a connection which something in between has lost track of.
    void silentConnectionIsReplaced()
    {
        Fleet fleet({});
        for (int round = 0; round < 3; ++round) {
            auto running = fleet.submitAsync(round % 2, newId(), job("glass-order", 4, 600));
            for (int i = 0; i < 3; ++i) {
                fleet.faultAgent(i, R"({"silence":true})");
            }
            fleet.faultEntry(round % 2, R"({"silence":true})");
            const HttpResult answer = running.get();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200L, answer.status);
            const HttpResult next = fleet.submit(round % 2, newId(), job("fold-preview", 4, 10));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(next.body, 200L, next.status);
        }
    }

    /// Guards against membership or leases that depend on single datagrams, and on their order.
    void lossyDatagrams()
    {
        Fleet fleet({});
        for (int i = 0; i < 3; ++i) {
            fleet.faultAgent(i, R"({"dropDatagrams":0.3,"duplicateDatagrams":0.3,"delayMs":20})");
        }
        for (int i = 0; i < 2; ++i) {
            fleet.faultEntry(i, R"({"dropDatagrams":0.3,"duplicateDatagrams":0.3,"delayMs":20})");
        }
        for (int i = 0; i < 30; ++i) {
            const std::string id = newId();
            const HttpResult answer = fleet.submit(i % 2, id, job("glass-order", 2, 50));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200L, answer.status);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(id, 0).size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreFaults);
