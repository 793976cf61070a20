#include "scheduleplays.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace LaburnumFlow::ClusterTest {

namespace {

std::uint64_t fromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *value = std::getenv(name);
    return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t defaultSeeds = 150; // the sanitizers make a schedule several times slower
#else
constexpr std::uint64_t defaultSeeds = 1500;
#endif

} // namespace

void runSeeds(std::size_t entries, Partitions partitions)
{
    const std::uint64_t first = fromEnvironment("LABURNUMFLOW_FIRST_SEED", 1);
    const std::uint64_t seeds = fromEnvironment("LABURNUMFLOW_SEEDS", defaultSeeds);
    std::size_t started = 0;
    std::size_t takeovers = 0;
    std::size_t handovers = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        Simulation simulation(seed, entries, 4, partitions);
        simulation.run(40 * second, 60 * second);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), simulation.violation());
        started += simulation.started();
        takeovers += simulation.takeovers();
        handovers += simulation.handovers();
    }
    std::cout << entries << " entries: " << seeds << " seeds, " << started << " starts, " << takeovers << " gains, " << handovers << " handovers\n";
    // Guards against schedules that test nothing because hardly any task is started.
    CPPUNIT_ASSERT(started > seeds * 50 && takeovers > seeds * 3 && handovers > seeds / 2);
}

} // namespace LaburnumFlow::ClusterTest
