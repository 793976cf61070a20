#include "crestmodel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

namespace {

/// Half of the capacity of 11 workers of 32 cores.
const std::vector<JobProfile> jobMix{{"short", 0, 24, 50, 30.0}, {"middle", 1, 6, 170, 90.0}, {"long", 2, 12, 700, 5.5}};

constexpr std::uint32_t workers = 11;
constexpr std::uint32_t cores = 32;

/// Factors of the mix; it is half of what the workers can do.
constexpr double fullLoad = 2.0;
constexpr double threeTimesCapacity = 6.0;

std::string describeResults(const LoadModel &model)
{
    std::string text = "useful work " + std::to_string(model.usefulWork());
    for (const auto &[queue, result] : model.results()) {
        text += "\n" + queue + ": asked " + std::to_string(result.submitted) + ", in time " + std::to_string(result.inTime) + ", late "
                + std::to_string(result.late) + ", useless " + std::to_string(result.tooLate) + ", refused " + std::to_string(result.refused);
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
    CPPUNIT_TEST(halfLoad);
    CPPUNIT_TEST(goodputDoesNotFall);
    CPPUNIT_TEST(nothingAcceptedIsUseless);
    CPPUNIT_TEST(noKindIsForgotten);
    CPPUNIT_TEST(peakLeavesNoBacklog);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Pattern: half load. Guards against refusals, and late answers, of what the workers have room for.
    void halfLoad()
    {
        const LoadModel model = runLoad(1, 1.0);
        for (const auto &[queue, result] : model.results()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describeResults(model), result.submitted, result.inTime);
        }
    }

    /// Pattern: demand of three times the capacity. Guards against workers that are busy with jobs which are late already
    /// while others become late behind them: what is done in time must not fall by more than a twentieth.
    void goodputDoesNotFall()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            const LoadModel atCapacity = runLoad(seed, fullLoad);
            const LoadModel overloaded = runLoad(seed, threeTimesCapacity);
            CPPUNIT_ASSERT_MESSAGE(describeResults(atCapacity) + "\n" + describeResults(overloaded), overloaded.usefulWork() >= 0.95 * atCapacity.usefulWork());
        }
    }

    /// Pattern: demand of three times the capacity. Guards against jobs that wait, and take workers, until nobody gains from
    /// them any more.
    void nothingAcceptedIsUseless()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            const LoadModel model = runLoad(seed, threeTimesCapacity);
            for (const auto &[queue, result] : model.results()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(describeResults(model), std::uint32_t(0), result.tooLate);
            }
        }
    }

    /// Pattern: full load of three kinds. Guards against a kind that is hardly served because others come before it.
    void noKindIsForgotten()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            const LoadModel model = runLoad(seed, fullLoad);
            for (const auto &[queue, result] : model.results()) {
                CPPUNIT_ASSERT_MESSAGE(describeResults(model), 2 * (result.inTime + result.late) >= result.submitted);
            }
        }
    }

    /// Pattern: a crest of two seconds, then half load. Guards against a backlog of the crest that makes later jobs late.
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
