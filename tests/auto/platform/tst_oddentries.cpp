#include "platform/callerdialect.h"
#include "platform/heartbeats.h"
#include "platform/jsonfields.h"
#include "platform/rulesdocument.h"
#include "platform/workerdialect.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Platform;

namespace {

/// Returns an object with arrays in it, nested to the given depth with the object itself.
std::string nested(std::size_t depth)
{
    return R"({"a":)" + std::string(depth - 1, '[') + std::string(depth - 1, ']') + "}";
}

/// Returns an object with an array of the given number of empty arrays.
std::string wide(std::size_t count)
{
    std::string text = R"({"a":[[])";
    for (std::size_t i = 1; i < count; ++i) {
        text += ",[]";
    }
    return text + "]}";
}

std::string heartbeat(const std::string &born)
{
    return R"({"Service":"s","State":"ready","Capacity":{"Cpu":16000,"MemMb":32768},"Seq":4,"born":)" + born + "}";
}

TaskAgent::HoldAnswered lists(const std::string &running, const std::string &ended)
{
    const std::string body = R"({"ClockMs":5,"born":9,"Running":[)" + running + R"(],"Ended":[)" + ended + "]}";
    return holdAnswer({}, {HttpIo::ClientResponse::Outcome::Answered, 200, body});
}

std::string runningRow(const std::string &run, const std::string &percent)
{
    return R"(["00000a21d94b36f8.0.0.1",)" + run + R"(,"",)" + percent + "]";
}

std::string endRow(const std::string &number, const std::string &run)
{
    return "[" + number + R"(,"00000a21d94b36f8.0.0.2",)" + run + R"(,"done",""])";
}

} // namespace

/// Inputs of other writers whose fields are out of the range that any worker, caller or store uses.
class TestOddEntries : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOddEntries);
    CPPUNIT_TEST(nestingIsLimited);
    CPPUNIT_TEST(numberOfValuesIsLimited);
    CPPUNIT_TEST(bracketsInTextAreNoNesting);
    CPPUNIT_TEST(runNumbersOutOfRange);
    CPPUNIT_TEST(endNumbersOutOfRange);
    CPPUNIT_TEST(percentagesOutOfRange);
    CPPUNIT_TEST(startTimesOutOfRange);
    CPPUNIT_TEST(idsThatAreNoNames);
    CPPUNIT_TEST(stretchOutOfRange);
    CPPUNIT_TEST(bestEffortThatIsNoBoolean);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a deeply nested body that takes more memory than the process may use.
    void nestingIsLimited()
    {
        CPPUNIT_ASSERT(parseObject(nested(maxNestingDepth)).has_value());
        CPPUNIT_ASSERT(!parseObject(nested(maxNestingDepth + 1)).has_value());
        CPPUNIT_ASSERT(!parseObject(nested(100'000)).has_value());
    }

    /// Guards against a body of very many small values that takes more memory than the process may use.
    void numberOfValuesIsLimited()
    {
        CPPUNIT_ASSERT(parseObject(wide(maxParsedValues / 4)).has_value());
        CPPUNIT_ASSERT(!parseObject(wide(maxParsedValues + 1)).has_value());
    }

    /// Guards against a limit that counts the brackets and commas of texts, such as the payload of a job.
    void bracketsInTextAreNoNesting()
    {
        const std::string brackets = R"({"a":"\\\")" + std::string(maxParsedValues + 1, '[') + std::string(maxParsedValues + 1, ',') + R"("})";
        CPPUNIT_ASSERT(parseObject(brackets).has_value());
    }

    /// Guards against a run number of more than 32 bits that is taken for another run of the task.
    void runNumbersOutOfRange()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(4'294'967'295), lists(runningRow("4294967295", "1"), "").running.at(0).run.run);
        for (const std::string run : {"0", "4294967296", "4294967298", "18446744073709551615", "1.5", "-1"}) {
            const auto answer = lists(runningRow(run, "1"), endRow("1", run));
            CPPUNIT_ASSERT_MESSAGE(run, answer.answered && answer.running.empty() && answer.ends.empty());
        }
    }

    /// Guards against an end whose number no worker reaches and that makes all later ends look recorded.
    void endNumbersOutOfRange()
    {
        for (const std::string number : {"0", "18446744073709551615", "9223372036854775808", "1e300", "-1"}) {
            const auto answer = lists("", endRow(number, "1") + "," + endRow("58", "1"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, std::size_t(1), answer.ends.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, std::uint64_t(58), answer.ends[0].number);
        }
    }

    /// Guards against a percentage that an int can't hold; the run itself is listed.
    void percentagesOutOfRange()
    {
        CPPUNIT_ASSERT_EQUAL(100, lists(runningRow("1", "100"), "").running.at(0).percent);
        for (const std::string percent : {"101", "4294967297", "1e300"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(percent, 100, lists(runningRow("1", percent), "").running.at(0).percent);
        }
        for (const std::string percent : {"-5", "-4294967200", "-1e300", "\"x\""}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(percent, -1, lists(runningRow("1", percent), "").running.at(0).percent);
        }
    }

    /// Guards against a heartbeat with a malformed start time that is taken for the first incarnation of a worker.
    void startTimesOutOfRange()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'700'000'000'000), parseHeartbeat("i-1", heartbeat("1700000000000"))->worker.startTimeMs);
        for (const std::string born : {"-1", "1.5", "\"1700000000000\"", "null", "[]", "9223372036854775807", "18446744073709551615", "1e300"}) {
            CPPUNIT_ASSERT_MESSAGE(born, !parseHeartbeat("i-1", heartbeat(born)).has_value());
        }
    }

    /// Guards against an id that adds a header to the calls which name it, or that fills the log.
    void idsThatAreNoNames()
    {
        const std::string prefix = "/instances/";
        const std::string longest(maxWorkerIdBytes, 'x');
        CPPUNIT_ASSERT(workerIdFromPath(prefix + longest) == longest);
        for (const std::string &id : {longest + "x", std::string("i-1\r\nHost: a"), std::string("i 1"), std::string("i-1\0", 4), std::string("i-\xc3\xa4")}) {
            CPPUNIT_ASSERT_MESSAGE(id, !workerIdFromPath(prefix + id).has_value());
        }
    }

    /// Guards against a factor that makes the target time of a job too large for an integer.
    void stretchOutOfRange()
    {
        const auto stretchOf = [](const std::string &stretch) {
            const auto document = parseRules(R"({"Version":1,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/","Service":"s","Stretch":)" + stretch + "}]}");
            return document->table.routes.at(0).rules.stretch;
        };
        CPPUNIT_ASSERT_EQUAL(1.6, stretchOf("1.6"));
        for (const std::string stretch : {"1e300", "-1e300", "-1", "1000.5"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(stretch, 1.0, stretchOf(stretch));
        }
    }

    /// Guards against a malformed flag that reads as false, so that the caller gets its response before the job has ended.
    void bestEffortThatIsNoBoolean()
    {
        const auto rules = parseRules(R"({"Version":1,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/","Service":"s"}]})");
        for (const std::string flag : {"1", "\"true\"", "null", "[]"}) {
            const std::string body = R"({"Steps":[{"Count":1}],"BestEffort":)" + flag + "}";
            const Decoded decoded = decodeCall({1, "POST", "/p/5c0e7a21d94b36f8", "h", body, {}}, &rules->table);
            const auto *response = std::get_if<HttpIo::ServerResponse>(&decoded);
            CPPUNIT_ASSERT_MESSAGE(flag, response != nullptr && response->status == 400);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOddEntries);
