#include "store/base64.h"
#include "store/etcdwire.h"
#include "store/storecodec.h"
#include "store/storeconstants.h"
#include "storeoutcome.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Store;

namespace {

Protocol::PartitionMap sampleMap()
{
    Protocol::PartitionMap map;
    map.epoch = 18'446'744'073'709'551'615U;
    map.entries = {{{"e1", 7}, {"10.0.0.1", 80}, {"10.0.0.1", 70}, "fd-a"}, {{"e2", 1ULL << 63U}, {"10.0.0.2", 80}, {"10.0.0.2", 70}, "fd-b"}};
    map.owner.fill(1);
    map.owner[0] = 0;
    map.unfenced = {{3, {map.entries[0]}}};
    map.confirmedDead = {"e3"};
    map.writeId = "w";
    return map;
}

StoredSettings sampleSettings(std::size_t history, std::size_t yamlBytes)
{
    StoredSettings settings;
    settings.subtree = {"adire", history + 1, "c", std::string(yamlBytes, '#')};
    settings.author = "op \"x\"";
    settings.wallMs = 1'764'844'800'000;
    for (std::uint64_t revision = history; revision > 0; --revision) {
        settings.history.push_back({revision, "c" + std::to_string(revision), "op", 5, std::string(yamlBytes, '#')});
    }
    return settings;
}

StoredSettings reread(const StoredSettings &settings)
{
    const auto parsed = parseSettings({settingsKey(settings.subtree.team), toJson(settings), 1});
    CPPUNIT_ASSERT(parsed);
    return *parsed;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto place = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, place != std::string::npos);
    return text.replace(place, from.size(), to);
}

} // namespace

class TestStoreCodec : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreCodec);
    CPPUNIT_TEST(mapRoundTrip);
    CPPUNIT_TEST(malformedMaps);
    CPPUNIT_TEST(settingsRoundTrip);
    CPPUNIT_TEST(boundedHistory);
    CPPUNIT_TEST(malformedSettings);
    CPPUNIT_TEST(base64);
    CPPUNIT_TEST(wireRequests);
    CPPUNIT_TEST(wireAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against fields of the partition map that are lost or changed by storing and reading it.
    void mapRoundTrip()
    {
        const auto parsed = parseMap({std::string(mapKey), toJson(sampleMap()), 1});
        CPPUNIT_ASSERT(parsed);
        CPPUNIT_ASSERT(*parsed == sampleMap());
        CPPUNIT_ASSERT(parseMap({std::string(mapKey), toJson(Protocol::PartitionMap()), 1}));
    }

    /// Guards against a partition map that is accepted although a field is missing or out of range.
    void malformedMaps()
    {
        const std::string text = toJson(sampleMap());
        const std::string cases[] = {
            "",
            "[]",
            text.substr(0, text.size() / 2),
            replaced(text, "\"epoch\":18446744073709551615", "\"epoch\":-1"),
            replaced(text, "\"port\":80", "\"port\":65536"),
            replaced(text, "\"owner\":[0,", "\"owner\":["),
            replaced(text, "\"owner\":[0,", "\"owner\":[0,0,"),
            replaced(text, "\"owner\":[0,", "\"owner\":[2,"),
            replaced(text, "\"confirmedDead\":[\"e3\"]", "\"confirmedDead\":[3]"),
            replaced(text, "\"name\":\"e1\",", ""),
            replaced(text, "\"writeId\":\"w\"", "\"writeId\":null"),
        };
        for (const std::string &value : cases) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::string("MalformedValue"), callOutcome([&] { return parseMap({std::string(mapKey), value, 1}); }));
        }
    }

    /// Guards against fields of a settings subtree that are lost or changed by storing and reading it.
    void settingsRoundTrip()
    {
        const StoredSettings settings = sampleSettings(2, 5);
        const StoredSettings parsed = reread(settings);
        CPPUNIT_ASSERT(parsed.subtree == settings.subtree);
        CPPUNIT_ASSERT_EQUAL(settings.author, parsed.author);
        CPPUNIT_ASSERT_EQUAL(settings.wallMs, parsed.wallMs);
        CPPUNIT_ASSERT_EQUAL(std::string("c2"), parsed.history.at(0).changeId);
        CPPUNIT_ASSERT_EQUAL(settings.history[1].yaml, parsed.history.at(1).yaml);
        StoredSettings root = settings;
        root.subtree.team.clear();
        CPPUNIT_ASSERT_EQUAL(std::string(), reread(root).subtree.team);
        CPPUNIT_ASSERT_EQUAL(std::string("MalformedValue"), callOutcome([&] { return parseSettings({"/other", toJson(root), 1}); }));
    }

    /// Guards against a history that grows until the value is too large to be stored, which would block further changes.
    void boundedHistory()
    {
        CPPUNIT_ASSERT_EQUAL(maxHistory, reread(sampleSettings(30, 10)).history.size());
        const StoredSettings large = sampleSettings(10, 240'000);
        CPPUNIT_ASSERT(toJson(large).size() < maxValueBytes);
        const StoredSettings kept = reread(large);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), kept.history.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), kept.history.at(0).revision);
        StoredSettings escaped = sampleSettings(10, 90'000);
        escaped.history.front().yaml.assign(300'000, '\n');
        CPPUNIT_ASSERT(toJson(escaped).size() < maxValueBytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), reread(escaped).history.size());
    }

    /// Guards against settings that are accepted although a field is missing or has another type.
    void malformedSettings()
    {
        const std::string text = toJson(sampleSettings(1, 3));
        const std::string cases[] = {"null", replaced(text, "\"revision\":2", "\"revision\":\"2\""), replaced(text, "\"yaml\":\"###\"", "\"yaml\":1"), "{}"};
        for (const std::string &value : cases) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::string("MalformedValue"), callOutcome([&] { return parseSettings({settingsKey("adire"), value, 1}); }));
        }
    }

    /// Guards against an encoding that differs from the store's (test vectors of RFC 4648, section 10).
    void base64()
    {
        const std::pair<std::string, std::string> vectors[] = {{"", ""},
                                                               {"f", "Zg=="},
                                                               {"fo", "Zm8="},
                                                               {"foo", "Zm9v"},
                                                               {"foob", "Zm9vYg=="},
                                                               {"fooba", "Zm9vYmE="},
                                                               {"foobar", "Zm9vYmFy"},
                                                               {"\xfb\xff", "+/8="}};
        for (const auto &[bytes, text] : vectors) {
            CPPUNIT_ASSERT_EQUAL(text, encodeBase64(bytes));
            CPPUNIT_ASSERT(decodeBase64(text) == bytes);
        }
        for (const std::string malformed : {"Zg=", "Z", "Zg==Zg==", "Z===", "Zm9-", "====", "Zm 9"}) {
            CPPUNIT_ASSERT_MESSAGE(malformed, !decodeBase64(malformed));
        }
    }

    /// Guards against requests that an etcd server would interpret differently.
    void wireRequests()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"key":"L2E=","range_end":"L2I="})"), Internal::rangeRequest("/a"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"key":"AA==","range_end":"AA=="})"), Internal::rangeRequest(""));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"key":"L/8=","range_end":"MA=="})"), Internal::rangeRequest("/\xff"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"create_request":{"key":"L2E=","range_end":"L2I=","start_revision":"8"}})"), Internal::watchRequest("/a", 7));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"compare":[{"key":"L2E=","mod_revision":"0","result":"EQUAL","target":"MOD"}],)"
                                         R"("failure":[{"request_range":{"key":"L2E="}}],"success":[{"request_put":{"key":"L2E=","value":"eA=="}}]})"),
                             Internal::swapRequest("/a", "x", 0));
    }

    /// Guards against malformed responses that are taken for an empty store, a failed swap or a watch without changes.
    void wireAnswers()
    {
        for (const std::string malformed : {"",
                                            "[]",
                                            "{}",
                                            R"({"header":{"revision":"x"}})",
                                            R"({"header":{"revision":"3"},"kvs":{}})",
                                            R"({"header":{"revision":"3"},"kvs":[{"key":"L2E="}]})",
                                            R"({"header":{"revision":"3"},"kvs":[{"key":"?","mod_revision":"3"}]})"}) {
            CPPUNIT_ASSERT_MESSAGE(malformed, !Internal::parseRangeResponse(malformed));
            CPPUNIT_ASSERT_MESSAGE(malformed, !Internal::parseSwapResponse(malformed));
        }
        for (const std::string malformed : {"", "{}", R"({"error":{}})", R"({"result":{"events":[{"kv":{}}]}})", R"({"result":{"compact_revision":"x"}})"}) {
            CPPUNIT_ASSERT_MESSAGE(malformed, !Internal::parseWatchMessage(malformed));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), Internal::parseRangeResponse(R"({"header":{"revision":"3"}})")->pairs.size());
        // The header's revision is newer than the last event, and the next watch must start after the event.
        const auto deleted
            = Internal::parseWatchMessage(R"({"result":{"header":{"revision":"9"},"events":[{"type":"DELETE","kv":{"key":"L2E=","mod_revision":"5"}}]}})");
        CPPUNIT_ASSERT(deleted && (deleted->batch.changed.at(0) == KeyValue{"/a", "", 0}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), deleted->batch.storeRevision);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreCodec);
