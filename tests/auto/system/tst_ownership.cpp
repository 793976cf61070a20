#include "fleet.h"
#include "waiting.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <string>

using namespace SystemTest;

namespace {

bool waitStarted(const Fleet &fleet, const std::string &id, int index = 0)
{
    return waitFor(generousSeconds, [&] { return !fleet.startsOf(id, index).empty(); });
}

/// Submits again, as a client does that got no answer, until the answer is final.
HttpResult submitUntilFinal(const Fleet &fleet, int entry, const std::string &id, const std::string &body)
{
    HttpResult answer;
    waitFor(generousSeconds, [&] {
        answer = fleet.submit(entry, id, body);
        return answer.status == 200 || answer.json().value("outcome", std::string()) == "failed" || answer.json().value("outcome", std::string()) == "unknown";
    });
    return answer;
}

} // namespace

class TestOwnership : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOwnership);
    CPPUNIT_TEST(resubmissionsJoin);
    CPPUNIT_TEST(otherBodyUnderSameIdIsRefused);
    CPPUNIT_TEST(resubmissionDuringAndAfterOwnersDeath);
    CPPUNIT_TEST(relayedRequestSurvivesOwnersDeath);
    CPPUNIT_TEST(ownerAndAgentDie);
    CPPUNIT_TEST(frozenOwnerStartsNothing);
    CPPUNIT_TEST(gracefulRestartLosesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a second run when a customer sends the same job again to the same entry and to another.
    void resubmissionsJoin()
    {
        Fleet fleet({});
        const std::string id = newId();
        const std::string body = job("glass-order", 3, 300);
        std::vector<std::future<HttpResult>> answers;
        answers.reserve(8);
        for (int i = 0; i < 8; ++i) {
            answers.push_back(fleet.submitAsync(i % 2, id, body));
        }
        const std::string first = answers[0].get().body;
        for (std::size_t i = 1; i < answers.size(); ++i) {
            const HttpResult answer = answers[i].get();
            CPPUNIT_ASSERT_EQUAL(200L, answer.status);
            CPPUNIT_ASSERT_EQUAL(first, answer.body);
        }
        CPPUNIT_ASSERT_EQUAL(first, fleet.submit(1, id, body).body);
        for (int index = 0; index < 3; ++index) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(id, index).size());
        }
    }

    /// Guards against answering one job with the results of another.
    void otherBodyUnderSameIdIsRefused()
    {
        Fleet fleet({});
        const std::string id = newId();
        CPPUNIT_ASSERT_EQUAL(200L, fleet.submit(0, id, job("fold-preview", 1, 5)).status);
        const HttpResult answer = fleet.submit(1, id, job("fold-preview", 2, 5));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, std::string("body-mismatch"), answer.json().value("reason", std::string()));
    }

    /// Guards against a second start by the new owner: the task runs, its owner dies, the customer sends the job again
    /// at once and once more after the takeover. The kind must not be repeated.
    void resubmissionDuringAndAfterOwnersDeath()
    {
        Fleet fleet({});
        const std::string id = fleet.idOwnedBy(0);
        const std::string body = job("glass-order", 2, 3'000);
        auto lost = fleet.submitAsync(0, id, body);
        CPPUNIT_ASSERT(waitStarted(fleet, id, 0) && waitStarted(fleet, id, 1));
        fleet.entry(0).kill();
        auto during = fleet.submitAsync(1, id, body);
        CPPUNIT_ASSERT_EQUAL(0L, lost.get().status);
        during.get();
        const HttpResult after = submitUntilFinal(fleet, 1, id, body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(after.body, 200L, after.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(id, 0).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(id, 1).size());
    }

    /// Guards against an accepted request without an answer when the owner behind the receiving entry dies.
    void relayedRequestSurvivesOwnersDeath()
    {
        Fleet fleet({.entries = 3});
        const std::string id = fleet.idOwnedBy(0);
        auto answer = fleet.submitAsync(1, id, job("fold-plan", 4, 1'000));
        CPPUNIT_ASSERT(waitStarted(fleet, id));
        fleet.entry(0).kill();
        const HttpResult result = answer.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, 200L, result.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, result.json()["results"].size());
    }

    /// Guards against taking an id for fresh when both records of it are gone: the owner's and the agent's.
    void ownerAndAgentDie()
    {
        Fleet fleet({.entries = 2, .workers = 1});
        const std::string id = fleet.idOwnedBy(0);
        const std::string body = job("glass-order", 1, 500);
        auto lost = fleet.submitAsync(0, id, body);
        CPPUNIT_ASSERT(waitStarted(fleet, id));
        fleet.agent(0).kill();
        fleet.entry(0).kill();
        fleet.startAgent(0);
        const HttpResult after = submitUntilFinal(fleet, 1, id, body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(after.body, std::string("unknown"), after.json().value("outcome", std::string()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(id).size());
    }

    /// Guards against an owner that was frozen over a takeover and starts its queue when it goes on.
    void frozenOwnerStartsNothing()
    {
        Fleet fleet({.entries = 3, .workers = 1, .slots = 1});
        const std::string id = fleet.idOwnedBy(0);
        const std::string body = job("glass-order", 6, 400, 60'000);
        auto first = fleet.submitAsync(0, id, body);
        CPPUNIT_ASSERT(waitStarted(fleet, id));
        fleet.entry(0).freeze();
        const HttpResult taken = submitUntilFinal(fleet, 1, id, body);
        fleet.entry(0).signal(SIGCONT);
        first.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(taken.body, 200L, taken.status);
        CPPUNIT_ASSERT(fleet.waitServing(0, generousSeconds));
        for (int index = 0; index < 6; ++index) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(id, index).size());
        }
    }

    /// Guards against requests that are cut off, lost or run twice while every entry is replaced under load.
    void gracefulRestartLosesNothing()
    {
        Fleet fleet({.entries = 3});
        for (int entry = 0; entry < 3; ++entry) {
            std::vector<std::string> ids;
            std::vector<std::future<HttpResult>> answers;
            for (int i = 0; i < 12; ++i) {
                ids.push_back(newId());
                answers.push_back(fleet.submitAsync(i % 3, ids.back(), job("glass-order", 2, 1'000)));
            }
            for (const std::string &id : ids) {
                CPPUNIT_ASSERT(waitStarted(fleet, id));
            }
            fleet.entry(entry).signal(SIGTERM);
            for (std::size_t i = 0; i < answers.size(); ++i) {
                const HttpResult answer = answers[i].get();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200L, answer.status);
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(ids[i], 0).size());
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(ids[i], 1).size());
            }
            CPPUNIT_ASSERT_EQUAL(0, fleet.entry(entry).waitExit(generousSeconds));
            fleet.startEntry(entry);
            fleet.waitReady();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOwnership);
