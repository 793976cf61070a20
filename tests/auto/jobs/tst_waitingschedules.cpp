#include "waitingmodel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <string>

using namespace LaburnumFlow::Jobs::Testing;

namespace {

constexpr unsigned defaultSeeds = 200;

unsigned fromEnvironment(const char *name, unsigned fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : static_cast<unsigned>(std::stoul(value));
}

} // namespace

/// Seeded schedules of jobs of all forms on workers in trouble. LABURNUMFLOW_FIRST_SEED and LABURNUMFLOW_SEEDS set other seeds.
class TestWaitingSchedules : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWaitingSchedules);
    CPPUNIT_TEST(noJobIsLeftWaiting);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against accepted jobs that never start although their turn and ample room have come, and against counts that drift from what they count.
    void noJobIsLeftWaiting()
    {
        const unsigned first = fromEnvironment("LABURNUMFLOW_FIRST_SEED", 1);
        const unsigned seeds = fromEnvironment("LABURNUMFLOW_SEEDS", defaultSeeds);
        std::string faults;
        for (unsigned seed = first; seed < first + seeds; ++seed) {
            const std::string fault = WaitingModel(seed).play();
            faults += fault.empty() ? fault : fault + '\n';
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestWaitingSchedules);
