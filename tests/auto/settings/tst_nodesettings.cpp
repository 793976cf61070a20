#include "settingscases.h"

#include "settings/nodesettings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Settings;

namespace {

const std::string storeText = "store: {address: '10.0.0.1:80'}\n";
const std::string agentText = "role: agent\nname: a\nregistration: 10.0.0.2:1\nworker: 10.0.0.2:2\n" + storeText;

NodeSettings parsed(const std::string &yaml)
{
    auto result = parseNodeSettings(yaml);
    CPPUNIT_ASSERT(result);
    return result.value();
}

} // namespace

class TestNodeSettings : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestNodeSettings);
    CPPUNIT_TEST(examples);
    CPPUNIT_TEST(faults);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against example files that are rejected, and against keys that are read into the wrong field.
    void examples()
    {
        const NodeSettings entry = parsed(readExample("node/entry.yaml"));
        CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), entry.name);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(25), entry.processorPercent);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(8080), std::get<JobEntrySettings>(entry.role).callers.port);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(8082), entry.peers.port);
        CPPUNIT_ASSERT(entry.metrics && entry.metrics->port == 8083);
        const auto &role = std::get<JobEntrySettings>(entry.role);
        CPPUNIT_ASSERT_EQUAL(1.5, role.remoteFactor);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(120), role.finalStateSeconds);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1300), role.resubmitDelayMs);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), entry.stopSeconds);
        CPPUNIT_ASSERT(entry.linkMbps && *entry.linkMbps == 1000.0);
        const NodeSettings agent = parsed(readExample("node/agent.yaml"));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(8101), std::get<JobAgentSettings>(agent.role).worker.port);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(8090), agent.store.endpoint.port);
    }

    /// Guards against wrong settings that are accepted and fail only after the process has started.
    void faults()
    {
        const FaultCase cases[] = {
            {agentText, "", ""},
            {"name: a\n" + storeText, "1:1 role", ""},
            {agentText + "metrics: 10.0.0.2:9\n", "", ""},
            {agentText + "metrics: 9100\n", "6:10 metrics", ""},
            {agentText + "extra: 1\n", "6:1 extra", ""},
            {agentText + "processorShare: 0\n", "6:17 processorShare", ""},
            {agentText + "stopSeconds: 0\n", "6:14 stopSeconds", ""},
            {agentText + "remoteFactor: 2\n", "6:1 remoteFactor", ""},
            {"role: entry\nname: a\ncallers: 10.0.0.2:1\nready: 10.0.0.2:2\npeers: 10.0.0.2:3\nremoteFactor: 0.5\n" + storeText, "6:15 remoteFactor", ""},
            {agentText + "linkMbps: 0\n", "6:11 linkMbps", ""},
            {agentText + "logLinesPerSecond: 0\n", "6:20 logLinesPerSecond", ""},
            {"role: agent\nname: a\nregistration: 10.0.0.2:1\nworker: 0.0.0.0:2\n" + storeText, "4:9 worker", ""},
            {"role: entry\nname: a\ncallers: 10.0.0.2:1\nready: here\npeers: 10.0.0.2:3\n" + storeText, "4:8 ready", ""},
        };
        for (const FaultCase &expected : cases) {
            checkCase(expected, [](const std::string &yaml) { return parseNodeSettings(yaml); });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestNodeSettings);
