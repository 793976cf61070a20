#include "fleet.h"
#include "waiting.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace SystemTest;

class TestInput : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestInput);
    CPPUNIT_TEST(wholeAnswersInOrder);
    CPPUNIT_TEST(badInputChangesNothing);
    CPPUNIT_TEST(partialFailureFailsTheJob);
    CPPUNIT_TEST(orderedTasksFollowEachOther);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against results that are missing, mixed up between jobs or out of order when many jobs run at once.
    void wholeAnswersInOrder()
    {
        Fleet fleet({});
        constexpr int jobs = 24;
        constexpr int tasks = 20;
        std::vector<std::string> ids;
        std::vector<std::future<HttpResult>> answers;
        for (int i = 0; i < jobs; ++i) {
            ids.push_back(newId());
            answers.push_back(fleet.submitAsync(i % 2, ids.back(), job("fold-preview", tasks, 5 + i)));
        }
        for (std::size_t i = 0; i < answers.size(); ++i) {
            const HttpResult answer = answers[i].get();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200L, answer.status);
            const nlohmann::json results = answer.json()["results"];
            CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, results.size());
            for (int task = 0; task < tasks; ++task) {
                const std::string expected = ids[i] + "-" + std::to_string(task) + "-";
                CPPUNIT_ASSERT(results[static_cast<std::size_t>(task)].value("id", std::string()).starts_with(expected));
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(ids[i], task).size());
            }
        }
    }

    /// Guards against input that is accepted in part, starts something or gets an answer that does not name the fault.
    void badInputChangesNothing()
    {
        Fleet fleet({});
        const std::size_t before = fleet.records().size();
        const std::string tooMany = job("fold-preview", 581, 1);
        const std::string tooLarge = R"({"tasks":[{"kind":"fold-preview","payload":")" + std::string(1'100'000, 'x') + R"("}]})";
        const std::string tooDeep = R"({"tasks":[{"kind":"fold-preview","payload":)" + std::string(5'000, '[') + std::string(5'000, ']') + "}]}";
        struct Case {
            std::string team;
            std::string body;
            long status;
            std::string reason;
        };
        const Case cases[] = {
            {"nobody", job("fold-preview", 1, 1), 404, "unknown-team"},
            {"adire", job("no-such-kind", 1, 1), 422, "unknown-kind"},
            {"adire", "", 400, "bad-request"},
            {"adire", "{\"tasks\":[", 400, "bad-request"},
            {"adire", "[]", 400, "bad-request"},
            {"adire", R"({"tasks":[]})", 400, "bad-request"},
            {"adire", R"({"tasks":[{"kind":7}]})", 400, "bad-request"},
            {"adire", R"({"tasks":[{"kind":"fold-preview"}],"deadlineMs":"soon"})", 400, "bad-request"},
            {"adire", R"({"tasks":[{"kind":"fold-preview"}],"deadlineMs":0})", 400, "deadline-past"},
            {"adire", R"({"tasks":[{"kind":"fold-preview"}],"deadlineMs":-5})", 400, "deadline-past"},
            {"adire", R"({"tasks":[{"kind":"fold-preview"}],"deadlinems":5})", 400, "bad-request"},
            {"adire", tooDeep, 400, "bad-request"},
            {"adire", tooMany, 422, "too-many-tasks"},
            {"adire", tooLarge, 413, "body-too-large"},
        };
        for (const Case &test : cases) {
            const HttpResult answer = fleet.submit(0, newId(), test.body, test.team);
            const std::string shown = test.body.substr(0, 60) + " -> " + answer.body;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, test.status, answer.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, test.reason, answer.json().value("reason", std::string()));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string("not-run"), answer.json().value("outcome", std::string()));
        }
        for (const char *id : {"", "not-a-uuid", "0191f3a0-7b1c-4def-8123-456789abcdef"}) {
            const std::string header = std::string("Idempotency-Key: ") + (*id == 0 ? "x" : id);
            const HttpResult answer = call("POST", fleet.http(0), "/v1/teams/adire/jobs", job("fold-preview", 1, 1), {header});
            CPPUNIT_ASSERT_EQUAL(400L, answer.status);
        }
        // Version 7 ids whose time is far in the future and far in the past.
        const HttpResult future = fleet.submit(0, "ffffffff-ffff-7def-8123-456789abcdef", job("fold-preview", 1, 1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(future.body, std::string("id-from-future"), future.json().value("reason", std::string()));
        const HttpResult past = fleet.submit(0, "00000000-0001-7def-8123-456789abcdef", job("fold-preview", 1, 1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(past.body, std::string("submission-expired"), past.json().value("reason", std::string()));
        CPPUNIT_ASSERT_EQUAL(before, fleet.records().size());
    }

    /// Guards against an answer that holds the results of some tasks only.
    void partialFailureFailsTheJob()
    {
        Fleet fleet({});
        nlohmann::json body = nlohmann::json::parse(job("fold-preview", 10, 20));
        body["tasks"][7]["payload"]["fail"] = true;
        const HttpResult answer = fleet.submit(0, newId(), body.dump());
        CPPUNIT_ASSERT(answer.status >= 500);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, std::string("failed"), answer.json().value("outcome", std::string()));
        CPPUNIT_ASSERT(!answer.json().contains("results"));
    }

    /// Guards against tasks of one ordering key that overlap or run out of order, across submissions and entries.
    void orderedTasksFollowEachOther()
    {
        Fleet fleet({});
        std::vector<std::string> ids;
        std::vector<std::future<HttpResult>> answers;
        for (int i = 0; i < 3; ++i) {
            ids.push_back(newId());
            answers.push_back(fleet.submitAsync(i % 2, ids.back(), job("sheet-check", 4, 30, 30'000, "sheet-12")));
        }
        for (auto &answer : answers) {
            CPPUNIT_ASSERT_EQUAL(200L, answer.get().status);
        }
        // Within one submission each task starts only after the one before it has ended: the results carry the
        // backend servers' own order, and with one task at a time each worker's record alternates start and end.
        int running = 0;
        for (int worker = 0; worker < 3; ++worker) {
            for (const BackendRecord &record : fleet.records()) {
                const bool ours = std::find(ids.begin(), ids.end(), record.submission) != ids.end();
                if (record.worker != worker || !ours) {
                    continue;
                }
                running += record.what == "start" ? 1 : -1;
                CPPUNIT_ASSERT(running == 0 || running == 1);
            }
        }
        for (const std::string &id : ids) {
            for (int index = 0; index < 4; ++index) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.startsOf(id, index).size());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestInput);
