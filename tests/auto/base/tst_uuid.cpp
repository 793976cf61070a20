#include "base/uuid.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string_view>

using namespace LaburnumFlow::Base;

class TestUuid : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestUuid);
    CPPUNIT_TEST(roundTrip);
    CPPUNIT_TEST(rejectsMalformed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a time field that is written or read in the wrong byte order, which would make ids look expired.
    void roundTrip()
    {
        const Uuid id = makeUuidV7(WallTime(1'764'843'600'123), 0x0123456789ABCDEFULL, 0xFEDCBA9876543210ULL);
        const auto parsed = parseUuidV7(toString(id));
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT(*parsed == id);
        CPPUNIT_ASSERT(timeOf(*parsed) == WallTime(1'764'843'600'123));
    }

    /// Guards against accepting an id of another form. Its time would be meaningless, but it decides whether a submission has expired.
    void rejectsMalformed()
    {
        constexpr std::string_view cases[] = {
            "",
            "0191f3a0-7b1c-7def-8123-456789abcde", // too short
            "0191f3a0-7b1c-7def-8123-456789abcdef0", // too long
            "0191f3a0-7b1c-4def-8123-456789abcdef", // version 4
            "0191f3a0-7b1c-7def-c123-456789abcdef", // another variant
            "0191f3a07b1c-7def-8123-456789abcdef-", // hyphens elsewhere
            "0191f3a0-7b1c-7def-8123-456789abcdeg", // not hexadecimal
        };
        for (const std::string_view text : cases) {
            CPPUNIT_ASSERT_MESSAGE(std::string(text), !parseUuidV7(text).has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUuid);
