#include "harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>

using namespace LaburnumFlow;
using namespace LaburnumFlow::DispatchTest;

class TestThroughput : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestThroughput);
    CPPUNIT_TEST(measuresStarts);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a cost per event that grows with the number of agents, teams or queued tasks: the loop would not end within
    /// the time limit of ctest. The rate is printed but not checked.
    void measuresStarts()
    {
        for (const std::size_t tasksPerJob : {std::size_t{1}, std::size_t{20}}) {
            measure(tasksPerJob, 48, 500);
        }
    }

private:
    static void measure(std::size_t tasksPerJob, int teams, int agents)
    {
        Harness harness(20261204);
        for (int i = 0; i < teams; ++i) {
            harness.kind("team" + std::to_string(i), "short").expectedMs = 50;
            harness.kind("team" + std::to_string(i), "long").expectedMs = 2000;
        }
        for (int i = 0; i < agents; ++i) {
            harness.agent("agent" + std::to_string(i), 8);
        }
        constexpr std::size_t wanted = 200'000;
        const auto begin = std::chrono::steady_clock::now();
        while (harness.startCount < wanted) {
            for (std::size_t job = 0; job < 400 / tasksPerJob; ++job) {
                const std::string team = "team" + std::to_string(harness.cluster.random() % static_cast<std::uint64_t>(teams));
                harness.submit(team, harness.cluster.random() % 10 == 0 ? "long" : "short", tasksPerJob);
            }
            harness.finishAll();
            harness.advance(10ms);
        }
        const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
        std::cout << "\nstarts per second, " << tasksPerJob << " tasks per job, " << agents
                  << " agents: " << static_cast<std::uint64_t>(static_cast<double>(harness.startCount) / seconds) << '\n';
        while (harness.finishAll() > 0) {
            harness.advance(10ms);
        }
        CPPUNIT_ASSERT(Dispatch::isIdle(harness.state));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestThroughput);
