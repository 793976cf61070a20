#include "site.h"

#include "../rawclient.h"
#include "../system/waiting.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <string>

using namespace NodeTest;
using namespace SystemTest;

namespace {

constexpr int workMs = 50;
constexpr const char *job1 = "00000000000000a1";
constexpr const char *job2 = "00000000000000a2";

bool hasRun(Site &site, const std::string &job)
{
    const auto runs = site.worker.runs();
    return std::any_of(runs.begin(), runs.end(), [&job](const auto &run) { return run.task.starts_with(job); });
}

/// Returns a request that submits job1 as a stored job.
std::string submissionWithDeadline(int deadlineMs)
{
    const std::string body = R"({"Spec":"50","Steps":[{"Count":1,"Cpu":1000}]})";
    return std::string("POST /q/") + job1 + " HTTP/1.1\r\nHost: q.example\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class TestSuspendedEntry : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSuspendedEntry);
    CPPUNIT_TEST(jobOfAGoneCallerNeverRuns);
    CPPUNIT_TEST(jobWhoseDeadlineHasPassedNeverRuns);
    CPPUNIT_TEST(jobThatIsCancelledMeanwhileNeverRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a job that is handed in by an entry that was suspended, although its caller has left.
    void jobOfAGoneCallerNeverRuns()
    {
        Site site(2);
        const int suspended = suspendOtherThanOwner(site);
        CPPUNIT_ASSERT_EQUAL(0L, site.submit(suspended, job1, 2, workMs, false, 300).status);
        site.entry(suspended).signal(SIGCONT);
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(suspended, job2, 1, workMs, false).status);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.jobState(1 - suspended, job2) == "completed"; }));
        CPPUNIT_ASSERT_EQUAL(std::string(), site.jobState(1 - suspended, job1));
        CPPUNIT_ASSERT(!hasRun(site, job1));
    }

    /// Guards against a job that is handed in by an entry that was suspended, although its deadline has passed. Its caller has left without a word.
    void jobWhoseDeadlineHasPassedNeverRuns()
    {
        Site site(2);
        const int suspended = suspendOtherThanOwner(site);
        const LaburnumFlow::Testing::RawClient caller(site.callersPort(suspended));
        caller.send(submissionWithDeadline(100));
        // The deadline passes while the owner works on other jobs.
        for (const char *job : {"00000000000000b1", "00000000000000b2", "00000000000000b3"}) {
            CPPUNIT_ASSERT_EQUAL(200L, site.submit(1 - suspended, job, 1, 100, true).status);
        }
        site.entry(suspended).signal(SIGCONT);
        CPPUNIT_ASSERT(caller.receive().starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT_EQUAL(std::string(), site.jobState(1 - suspended, job1));
        CPPUNIT_ASSERT(!hasRun(site, job1));
    }

    /// Guards against a job that runs although its cancelling was acknowledged while its submission waited in a suspended entry.
    void jobThatIsCancelledMeanwhileNeverRuns()
    {
        Site site(2);
        const int suspended = suspendOtherThanOwner(site);
        auto submitted = std::async(std::launch::async, [&] { return site.submit(suspended, job1, 2, workMs, false); });
        CPPUNIT_ASSERT_EQUAL(410L, site.cancel(1 - suspended, job1).status);
        site.entry(suspended).signal(SIGCONT);
        CPPUNIT_ASSERT_EQUAL(200L, submitted.get().status);
        CPPUNIT_ASSERT_EQUAL(200L, site.submit(suspended, job2, 1, workMs, false).status);
        CPPUNIT_ASSERT(waitFor(generousSeconds, [&] { return site.jobState(suspended, job2) == "completed"; }));
        CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), site.jobState(suspended, job1));
        CPPUNIT_ASSERT(!hasRun(site, job1));
    }

private:
    /// Suspends the entry that doesn't own the jobs, and returns its index.
    static int suspendOtherThanOwner(Site &site)
    {
        site.waitUntilReady(0);
        site.waitUntilReady(1);
        const int other = 1 - site.waitForOwner();
        site.entry(other).freeze();
        return other;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSuspendedEntry);
