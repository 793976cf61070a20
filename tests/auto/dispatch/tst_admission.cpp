#include "harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace LaburnumFlow;
using namespace LaburnumFlow::DispatchTest;
using Protocol::Outcome;
using Protocol::Reason;

namespace {

void prepare(Harness &harness)
{
    harness.kind("survey", "fold").expectedMs = 100;
    harness.kind("survey", "order", false);
    harness.agent("a");
}

} // namespace

class TestAdmission : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAdmission);
    CPPUNIT_TEST(refusesBadInput);
    CPPUNIT_TEST(generatesIdsForServedPartitions);
    CPPUNIT_TEST(boundsDeadlines);
    CPPUNIT_TEST(refusesOverload);
    CPPUNIT_TEST(joinsResubmissions);
    CPPUNIT_TEST(keepsAnswersForDeduplicationWindow);
    CPPUNIT_TEST(drains);
    CPPUNIT_TEST(checksAuthority);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against invalid jobs that change state or are refused with an imprecise reason.
    void refusesBadInput()
    {
        struct Case {
            Reason reason;
            std::function<void(Harness &, Protocol::JobBody &, std::optional<Base::Uuid> &)> change;
            Outcome outcome = Outcome::NotRun;
        };
        const Case cases[] = {
            {Reason::BadRequest, [](auto &, auto &body, auto &) { body.tasks.clear(); }},
            {Reason::UnknownTeam, [](auto &, auto &body, auto &) { body.team = "nobody"; }},
            {Reason::UnknownKind, [](auto &, auto &body, auto &) { body.tasks[0].kind = "paint"; }},
            {Reason::TooManyTasks, [](auto &, auto &body, auto &) { body.tasks.resize(581, body.tasks[0]); }},
            {Reason::TooManyTasks,
             [](auto &harness, auto &body, auto &) {
                 harness.team("survey").guards.maxTasksPerJob = 2;
                 body.tasks.resize(3, body.tasks[0]);
             }},
            {Reason::BodyTooLarge, [](auto &, auto &body, auto &) { body.tasks[0].payload.assign(70'000, 'x'); }},
            {Reason::BodyTooLarge, [](auto &, auto &body, auto &) { body.tasks[0].payload.assign(2'000'000, 'x'); }},
            {Reason::IdFromFuture, [](auto &harness, auto &, auto &id) { id = harness.newId(Base::WallTime(2100ms)); }},
            {Reason::SubmissionExpired, [](auto &harness, auto &, auto &id) { id = harness.newId(-Base::WallTime(121s)); }, Outcome::Unknown},
            {Reason::Unplaceable,
             [](auto &harness, auto &, auto &) {
                 harness.agent("a").kinds = {"other"};
                 harness.advance(60ms);
             }},
        };
        for (const bool given : {false, true}) {
            for (const Case &test : cases) {
                Harness harness;
                prepare(harness);
                Protocol::JobBody body = Harness::body("survey", "fold");
                std::optional<Base::Uuid> id = given ? std::optional(harness.newId()) : std::nullopt;
                test.change(harness, body, id);
                const auto failed = harness.failure(harness.submit(body, id));
                CPPUNIT_ASSERT_EQUAL(std::string(toString(test.reason)), std::string(toString(failed.reason)));
                CPPUNIT_ASSERT(failed.outcome == test.outcome);
                CPPUNIT_ASSERT(harness.starts.empty() && Dispatch::isIdle(harness.state));
            }
        }
    }

    /// Guards against generated ids of partitions that another entry owns, which cost a relay.
    void generatesIdsForServedPartitions()
    {
        Harness harness;
        prepare(harness);
        for (Protocol::Partition i = 0; i < Protocol::partitionCount; ++i) {
            harness.setOwner(i, i % 16 == 0 ? "self" : "other");
        }
        for (int i = 0; i < 5; ++i) {
            harness.submit("survey", "fold");
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, harness.starts.size());
        CPPUNIT_ASSERT(harness.peerSends.empty());
    }

    /// Guards against deadlines beyond the team's maximum, and against answers after the deadline.
    void boundsDeadlines()
    {
        struct Case {
            std::uint32_t given;
            std::uint32_t effective;
        };
        for (const Case &test : {Case{0, 2000}, Case{500, 500}, Case{90'000, 3000}}) {
            Harness harness;
            prepare(harness);
            harness.team("survey").deadlineMs = 2000;
            harness.team("survey").maxDeadlineMs = 3000;
            const auto request = harness.submit("survey", "fold", 1, test.given);
            CPPUNIT_ASSERT(harness.starts.at(0).task.remainingMs == test.effective);
            harness.advance(std::chrono::milliseconds(test.effective - 50));
            CPPUNIT_ASSERT(!harness.answered(request));
            harness.advance(60ms);
            const auto failed = harness.failure(request);
            CPPUNIT_ASSERT(failed.reason == Reason::DeadlineExceeded && failed.outcome == Outcome::Unknown);
        }
    }

    /// Guards against queues that grow without a bound, and against accepting jobs that can't end before their deadline.
    void refusesOverload()
    {
        Harness harness;
        prepare(harness);
        harness.team("survey").guards.maxQueuedTasks = 30;
        harness.team("survey").maxDeadlineMs = 600'000;
        for (int i = 0; i < 12; ++i) {
            harness.submit("survey", "fold", 1, 500'000);
        }
        harness.finishAll();
        harness.submit("survey", "fold", 30, 500'000);
        harness.submit("survey", "fold", 8, 500'000);
        const auto full = harness.failure(harness.submit("survey", "fold", 30, 500'000));
        CPPUNIT_ASSERT(full.reason == Reason::Overloaded && full.outcome == Outcome::NotRun && full.retryAfterMs > 0);
        // About 20 tasks of 100 ms wait for 8 slots.
        const auto late = harness.failure(harness.submit("survey", "fold", 1, 150));
        CPPUNIT_ASSERT(late.reason == Reason::Overloaded && late.outcome == Outcome::NotRun && late.retryAfterMs > 0);
        CPPUNIT_ASSERT(harness.state.teams["survey"].waitingCount <= 30);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.counter("refused.overloaded"));
    }

    /// Guards against a second run of a submission that the caller resubmits, and against answering a resubmission with another
    /// body from the first one.
    void joinsResubmissions()
    {
        Harness harness;
        prepare(harness);
        const Base::Uuid id = harness.newId();
        const Protocol::JobBody body = Harness::body("survey", "order");
        const auto first = harness.submit(body, id);
        const auto second = harness.submit(body, id);
        Protocol::JobBody otherBody = body;
        otherBody.tasks[0].payload = "{\"other\":1}";
        CPPUNIT_ASSERT(harness.failure(harness.submit(otherBody, id)).reason == Reason::BodyMismatch);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.startCount);
        harness.finishAll();
        for (const auto request : {first, second, harness.submit(body, id)}) {
            CPPUNIT_ASSERT(harness.failure(request).reason == Reason::None);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.startCount);
        harness.send(Events::JobStatusRequested{90, "another", id, {}});
        CPPUNIT_ASSERT(harness.statuses.back().status.phase == Protocol::JobPhase::Unknown);
    }

    /// Guards against records that are dropped before the deduplication window ends, or never.
    void keepsAnswersForDeduplicationWindow()
    {
        Harness harness;
        prepare(harness);
        const Base::Uuid id = harness.newId();
        const Protocol::JobBody body = Harness::body("survey", "order");
        harness.submit(body, id);
        harness.finishAll();
        harness.advance(119s);
        CPPUNIT_ASSERT(harness.failure(harness.submit(body, id)).reason == Reason::None);
        harness.advance(5s);
        CPPUNIT_ASSERT(harness.failure(harness.submit(body, id)).reason == Reason::SubmissionExpired);
        CPPUNIT_ASSERT(harness.state.ledger.empty() && harness.state.retainedBytes == 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.startCount);
    }

    /// Guards against a draining entry that accepts new jobs or aborts running ones.
    void drains()
    {
        Harness harness;
        prepare(harness);
        const Base::Uuid id = harness.newId();
        const auto running = harness.submit(Harness::body("survey", "fold"), id);
        harness.send(Events::DrainRequested{});
        CPPUNIT_ASSERT(!Dispatch::isIdle(harness.state));
        for (const auto &given : {std::optional<Base::Uuid>{}, std::optional(harness.newId())}) {
            const auto failed = harness.failure(harness.submit(Harness::body("survey", "fold"), given));
            CPPUNIT_ASSERT(failed.reason == Reason::Draining && failed.outcome == Outcome::NotRun && failed.retryAfterMs > 0);
        }
        const auto joined = harness.submit(Harness::body("survey", "fold"), id);
        harness.finishAll();
        CPPUNIT_ASSERT(harness.failure(running).reason == Reason::None && harness.failure(joined).reason == Reason::None);
        CPPUNIT_ASSERT(Dispatch::isIdle(harness.state));
    }

    /// Guards against starts by an owner whose authority ended while tasks were queued, and against not-run answers by it when
    /// another owner may have started the job.
    void checksAuthority()
    {
        Harness harness;
        prepare(harness);
        harness.submit("survey", "fold", 10);
        harness.submit("survey", "fold", 5);
        const std::size_t before = harness.startCount;
        harness.cluster.mapConfirmed = false;
        harness.finishAll();
        harness.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(before, harness.startCount);
        CPPUNIT_ASSERT(harness.failure(harness.submit(Harness::body("survey", "fold"), harness.newId())).outcome == Outcome::NotRun);
        harness.advance(2s);
        const auto unsure = harness.failure(harness.submit(Harness::body("survey", "fold"), harness.newId()));
        CPPUNIT_ASSERT(unsure.reason == Reason::OwnerSuspended && unsure.outcome == Outcome::Unknown);
        harness.cluster.mapConfirmed = true;
        harness.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, harness.startCount);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdmission);
