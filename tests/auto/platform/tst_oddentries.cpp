#include "platform/jsonfields.h"

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

} // namespace

/// Inputs of other writers whose fields are out of the range that any worker, caller or store uses.
class TestOddEntries : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOddEntries);
    CPPUNIT_TEST(nestingIsLimited);
    CPPUNIT_TEST(numberOfValuesIsLimited);
    CPPUNIT_TEST(bracketsInTextAreNoNesting);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOddEntries);
