#include "protocol/codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <random>
#include <span>
#include <variant>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Protocol;

namespace {

LinkMessage sampleMessage()
{
    StartBatch batch;
    batch.epoch = 7;
    batch.token = {11, 12};
    StartTask task;
    task.key.task.index = 3;
    task.key.attempt = 2;
    task.kind = "fold-preview";
    task.payload = R"({"sheet":1})";
    batch.tasks.push_back(task);
    return AgentRequest(batch);
}

bool decodes(std::span<const std::uint8_t> bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(message, decodeLinkMessage(bytes));
            return std::holds_alternative<AgentRequest>(message);
        },
        [](const MalformedMessage &) { return false; },
        [] {
            CPPUNIT_FAIL("an error of another type");
            return false;
        });
}

} // namespace

class TestCodec : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCodec);
    CPPUNIT_TEST(roundTrip);
    CPPUNIT_TEST(rejectsTruncated);
    CPPUNIT_TEST(rejectsCorruption);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against fields that are left out of a serialize function.
    void roundTrip()
    {
        const auto bytes = encode(sampleMessage());
        const auto decoded = decodeLinkMessage(bytes);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT(encode(*decoded) == bytes);
    }

    /// Guards against acting on a message that was cut short or has trailing bytes.
    void rejectsTruncated()
    {
        const auto bytes = encode(sampleMessage());
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            CPPUNIT_ASSERT(!decodes(std::span(bytes).first(size)));
        }
        auto longer = bytes;
        longer.push_back(0);
        CPPUNIT_ASSERT(!decodes(longer));
    }

    /// Guards against decoding a corrupt length field, which allocated gigabytes and ran for minutes.
    void rejectsCorruption()
    {
        std::mt19937_64 random(20261204);
        const auto bytes = encode(sampleMessage());
        for (int round = 0; round < 20'000; ++round) {
            auto corrupt = bytes;
            for (int flips = 0; flips < 3; ++flips) {
                corrupt[random() % corrupt.size()] = static_cast<std::uint8_t>(random());
            }
            CPPUNIT_ASSERT(corrupt == bytes || !decodes(corrupt));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCodec);
