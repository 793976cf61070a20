#include "crestmodel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

/// Takes half of the capacity of 11 workers with 32 cores each.
const std::vector<JobProfile> jobMix{{"short", 0, 24, 50, 30.0}, {"middle", 1, 6, 170, 90.0}, {"long", 2, 12, 700, 5.5}};

constexpr std::uint32_t workers = 11;
constexpr std::uint32_t cores = 32;

// Factors of jobMix, which takes half of the capacity.
constexpr double fullLoad = 2.0;
constexpr double threeTimesCapacity = 6.0;

std::string describeResults(const LoadModel &model)
{
    std::string text = "useful work " + std::to_string(model.usefulWork());
    for (const auto &[queue, result] : model.results()) {
        text += "\n" + queue + ": submitted " + std::to_string(result.submitted) + ", in time " + std::to_string(result.inTime) + ", late "
                + std::to_string(result.late) + ", too late " + std::to_string(result.tooLate) + ", refused " + std::to_string(result.refused);
    }
    return text;
}

LoadModel runLoad(std::uint64_t seed, double factor)
{
    LoadModel model(seed, workers, cores);
    model.run(jobMix, factor, 4s);
    model.drain();
    return model;
}

} // namespace

class TestCrest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCrest);
    CPPUNIT_TEST(everyWorkerGetsRuns);
    CPPUNIT_TEST(halfLoad);
    CPPUNIT_TEST(goodputDoesNotFall);
    CPPUNIT_TEST(nothingAcceptedIsUseless);
    CPPUNIT_TEST(noKindIsForgotten);
    CPPUNIT_TEST(peakLeavesNoBacklog);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Load: three times the capacity, so that each worker is needed. Guards against workers that stay idle for good, as their agents are among those of the
    /// former owner and the owner takes them for new ones that it must not use yet.
    void everyWorkerGetsRuns()
    {
        for (const std::uint32_t count : {workers, 10 * workers}) {
            LoadModel model(1, count, 1);
            model.run(jobMix, threeTimesCapacity, 1s);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), model.idleWorkers());
        }
    }

    /// Load: half of the capacity. Guards against refusals and late answers while there is free capacity.
    void halfLoad()
    {
        const LoadModel model = runLoad(1, 1.0);
        for (const auto &[queue, result] : model.results()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describeResults(model), result.submitted, result.inTime);
        }
    }

    /// Load: three times the capacity. Guards against workers that are busy with jobs which are late already while others
    /// become late behind them. The work done in time may fall by at most a twentieth.
    void goodputDoesNotFall()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            const LoadModel atCapacity = runLoad(seed, fullLoad);
            const LoadModel overloaded = runLoad(seed, threeTimesCapacity);
            CPPUNIT_ASSERT_MESSAGE(describeResults(atCapacity) + "\n" + describeResults(overloaded), overloaded.usefulWork() >= 0.95 * atCapacity.usefulWork());
        }
    }

    /// Load: three times the capacity. Guards against accepted jobs that wait, and then occupy workers, until their answer is
    /// of no use to the caller.
    void nothingAcceptedIsUseless()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            const LoadModel model = runLoad(seed, threeTimesCapacity);
            for (const auto &[queue, result] : model.results()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(describeResults(model), std::uint32_t(0), result.tooLate);
            }
        }
    }

    /// Load: the full capacity, by three queues. Guards against a queue that is starved because others come before it.
    void noKindIsForgotten()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            const LoadModel model = runLoad(seed, fullLoad);
            for (const auto &[queue, result] : model.results()) {
                CPPUNIT_ASSERT_MESSAGE(describeResults(model), 2 * (result.inTime + result.late) >= result.submitted);
            }
        }
    }

    /// Load: a peak of two seconds, then half of the capacity. Guards against a backlog of the peak that makes later jobs late.
    void peakLeavesNoBacklog()
    {
        LoadModel model(1, workers, cores);
        model.run(jobMix, threeTimesCapacity, 2s);
        model.run(jobMix, 1.0, 1s);
        model.resetResults();
        model.run(jobMix, 1.0, 3s);
        model.drain();
        for (const auto &[queue, result] : model.results()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describeResults(model), result.submitted, result.inTime);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCrest);
