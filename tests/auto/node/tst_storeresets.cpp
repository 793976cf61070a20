#include "site.h"

#include "../system/waiting.h"

#include "jobs/records.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <functional>
#include <future>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace LaburnumFlow;
using namespace NodeTest;
using SystemTest::generousSeconds;
using SystemTest::waitFor;

namespace {

constexpr int jobsPerEntry = 15;
constexpr std::size_t tasksPerJob = 2;
constexpr int taskMs = 20;
constexpr long answerTimeoutMs = 3000;

std::string jobName(int entry, int number)
{
    constexpr int firstNumber = 10; // Two digits
    return "000000000000c" + std::to_string(entry) + std::to_string(firstNumber + number);
}

struct Outcomes {
    std::set<std::string> accepted;
    std::set<std::string> refused;
};

/// Submits stored jobs one after the other, each until it is accepted or refused.
Outcomes submitJobs(const Site &site, int entry)
{
    Outcomes outcomes;
    for (int i = 0; i < jobsPerEntry; ++i) {
        const std::string id = jobName(entry, i);
        long status = 0;
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] {
            status = site.submit(entry, id, tasksPerJob, taskMs, false, answerTimeoutMs).status;
            return status == 200 || status == 429 || status == 503;
        }));
        (status == 200 ? outcomes.accepted : outcomes.refused).insert(id);
    }
    return outcomes;
}

std::size_t countRuns(const std::vector<PlatformSite::WorkerStandIn::Run> &runs, const std::string &job)
{
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&job](const auto &run) { return run.task.starts_with(job); }));
}

void checkOutcomes(Site &site, int entry, const Outcomes &outcomes)
{
    for (const std::string &id : outcomes.accepted) {
        CPPUNIT_ASSERT_MESSAGE(id, waitFor(generousSeconds, [&] { return site.jobState(entry, id) == "completed"; }));
    }
    const std::vector<PlatformSite::WorkerStandIn::Run> runs = site.allRuns();
    for (const std::string &id : outcomes.accepted) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(id, tasksPerJob, countRuns(runs, id));
    }
    for (const std::string &id : outcomes.refused) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("refused: " + id, std::size_t(0), countRuns(runs, id));
    }
}

std::uint64_t ownerEpoch(Site &site)
{
    const auto record = Jobs::decodeOwnerRecord(site.platform.read(std::string(Jobs::ownerKey)).at(std::string(Jobs::ownerKey)));
    CPPUNIT_ASSERT(record.has_value());
    return record->epoch;
}

/// Lets the store name an owner that does not exist.
void replaceOwner(Site &site, std::uint64_t epoch)
{
    site.platform.put(std::string(Jobs::ownerKey), Jobs::encodeRecord(Jobs::OwnerRecord{epoch, 0, "other", 1, {}}));
}

} // namespace

/// Tests entries whose calls the store executes without an answer, or answers late.
class TestStoreResets : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreResets);
    CPPUNIT_TEST(executedCommitsWhoseConnectionsAreReset);
    CPPUNIT_TEST(executedCommitsThatAreTurnedAwayWhenTheyComeAgain);
    CPPUNIT_TEST(pageOfAnEarlierLoadIsDropped);
    CPPUNIT_TEST(endIsNotAcknowledgedAfterTheOwnershipWasVacated);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against accepted jobs that are lost, refused jobs that run, and an owner that takes its own commit for that of another one, when the store
    /// resets connections after it has executed a transaction.
    void executedCommitsWhoseConnectionsAreReset()
    {
        submitWhileTheStoreResets();
    }

    /// Guards against the same if the store, having executed a transaction, turns away its second sending.
    void executedCommitsThatAreTurnedAwayWhenTheyComeAgain()
    {
        const unsigned turnedAway = submitWhileTheStoreResets(true);
        CPPUNIT_ASSERT(turnedAway > 0);
    }

    /// Guards against a takeover without a stored job: an entry that lost the ownership while it was reading the jobs, and gained it again, took a page of
    /// its first load for one of the second.
    void pageOfAnEarlierLoadIsDropped()
    {
        const std::string job = jobName(0, 0);
        Site site(1);
        site.waitUntilReady(0);
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(0, job, 1, 3000, false).status);
        const std::map<std::string, std::string> packs = site.platform.read(std::string(Jobs::jobPrefix));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), packs.size());
        // The first load finds no job.
        site.platform.holdReads(std::string(Jobs::jobPrefix));
        replaceOwner(site, 20);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return !site.ownerIndex(); }));
        site.platform.remove(packs.begin()->first);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.platform.heldReads() == 1; }));
        replaceOwner(site, 30);
        site.platform.put(packs.begin()->first, packs.begin()->second);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.platform.heldReads() == 2; }));
        site.platform.releaseReads(1);
        waitFor(1, [&] { return site.ownerIndex().has_value(); });
        site.platform.holdReads({});
        site.platform.releaseReads(2);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.jobState(0, job) == "completed"; }));
    }

    /// Guards against a second run of a task that ended while its owner was stopping and waited for the answer to the vacation of its ownership: the end
    /// was acknowledged to the worker, but not stored.
    void endIsNotAcknowledgedAfterTheOwnershipWasVacated()
    {
        constexpr int workMs = 1500;
        constexpr std::chrono::milliseconds stopBeforeEnd{50};
        constexpr unsigned vacationMs = 400; // Longer than the store's timeout
        const std::string job = jobName(0, 0);
        Site site(2);
        site.waitUntilReady(0);
        site.waitUntilReady(1);
        const int owner = site.waitForOwner();
        const int successor = 1 - owner;
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(owner, job, 1, workMs, false).status);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.allRuns().size() == 1; }));
        std::this_thread::sleep_until(site.allRuns()[0].end - stopBeforeEnd);
        // The successor claims the jobs only after the end.
        site.turnAway(successor, true);
        site.platform.delaysNextMs = vacationMs;
        site.entry(owner).signal(SIGTERM);
        std::this_thread::sleep_for(std::chrono::milliseconds(vacationMs));
        site.turnAway(successor, false);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.jobState(successor, job) == "completed"; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), site.allRuns().size());
    }

private:
    /// Submits jobs to two entries while each third transaction is executed and its connection reset. Returns how many second sendings were turned away.
    static unsigned submitWhileTheStoreResets(bool turnsAwaySecondSendings = false)
    {
        Site site(2);
        site.waitUntilReady(0);
        site.waitUntilReady(1);
        const int owner = site.waitForOwner();
        const std::uint64_t epoch = ownerEpoch(site);
        site.platform.turnsAwaySecondSendings = turnsAwaySecondSendings;
        site.platform.resetsEach = 3;
        auto second = std::async(std::launch::async, submitJobs, std::cref(site), 1);
        const Outcomes first = submitJobs(site, 0);
        checkOutcomes(site, 0, first);
        checkOutcomes(site, 1, second.get());
        CPPUNIT_ASSERT(site.platform.resets() > 0);
        CPPUNIT_ASSERT(!PlatformSite::overlap(site.allRuns()));
        CPPUNIT_ASSERT_EQUAL(owner, site.waitForOwner());
        CPPUNIT_ASSERT_EQUAL(epoch, ownerEpoch(site));
        return site.platform.secondSendingsTurnedAway();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreResets);
