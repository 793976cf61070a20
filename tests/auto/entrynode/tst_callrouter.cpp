#include "entrynode/callrouter.h"
#include "entrynode/entrynodeconstants.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::EntryNode;
using Kind = Jobs::CallAnswer::Kind;
using namespace std::chrono_literals;

namespace {

Jobs::Call submit(Jobs::JobId job)
{
    Jobs::SubmitCall call;
    call.job = job;
    return call;
}

template<class Effect>
const Effect *onlyEffect(const RouterEffects &effects)
{
    return effects.size() == 1 ? std::get_if<Effect>(effects.data()) : nullptr;
}

} // namespace

class TestCallRouter : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCallRouter);
    CPPUNIT_TEST(waitsForAnOwner);
    CPPUNIT_TEST(refusesCallsThatNoOwnerHasSeen);
    CPPUNIT_TEST(bestEffortOutcomeIsUnknownWithoutOwner);
    CPPUNIT_TEST(outcomeIsUnknownOnceForwarded);
    CPPUNIT_TEST(forwardsAgainToTheNextOwner);
    CPPUNIT_TEST(returnedCallIsRetried);
    CPPUNIT_TEST(answersOnce);
    CPPUNIT_TEST(answersAllCallsWhenStopping);
    CPPUNIT_TEST(refusalOfFormerOwnerDoesNotCount);
    CPPUNIT_TEST(bestEffortRefusalAfterAnotherOwnerIsUnknown);
    CPPUNIT_TEST(tellsTheNextOwnerThatItMayHaveRun);
    CPPUNIT_TEST(callPastItsTimeoutIsNotForwardedAgain);
    CPPUNIT_TEST(callOfAGoneCallerIsNotForwardedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against refusing calls during a change of owner, when there is no route for a short time.
    void waitsForAnOwner()
    {
        CallRouter router;
        CPPUNIT_ASSERT(router.accept(1, submit(7), 2s, 100s).empty());
        const RouterEffects effects = router.route(PeerRoute{"entry-2"}, 100s);
        CPPUNIT_ASSERT(onlyEffect<SendToPeer>(effects) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), onlyEffect<SendToPeer>(effects)->name);
    }

    /// Guards against callers that wait for their whole timeout although their call was never forwarded and can be refused safely.
    void refusesCallsThatNoOwnerHasSeen()
    {
        CallRouter router;
        router.accept(1, submit(7), 10s, 100s);
        CPPUNIT_ASSERT(router.expire(100s + submitTimeout - 1ms).empty());
        const RouterEffects effects = router.expire(100s + submitTimeout);
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects)->answer.kind == Kind::Unavailable);
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects)->answer.retryAfterS > 0);
    }

    /// Guards against "not run" for a resubmitted best-effort job whose first submission may have run under an owner that was lost.
    void bestEffortOutcomeIsUnknownWithoutOwner()
    {
        Jobs::SubmitCall call;
        call.job = 7;
        call.bestEffort = true;
        CallRouter router;
        router.accept(1, call, 10s, 100s);
        RouterEffects effects = router.expire(100s + submitTimeout);
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects)->answer.kind == Kind::OutcomeUnknown);
        router.accept(2, call, 10s, 102s);
        effects = router.answerAll();
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects)->answer.kind == Kind::OutcomeUnknown);
    }

    /// Guards against "not run" for a job that was forwarded to an owner, which may have started it.
    void outcomeIsUnknownOnceForwarded()
    {
        CallRouter router;
        router.route(PeerRoute{"entry-2"}, 100s);
        router.accept(1, submit(7), 2s, 100s);
        router.route(NoRoute{}, 100s);
        CPPUNIT_ASSERT(router.expire(100s + submitTimeout).empty());
        const RouterEffects effects = router.expire(102s);
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects)->answer.kind == Kind::OutcomeUnknown);
    }

    /// Guards against calls that are lost with the owner to which they were forwarded.
    void forwardsAgainToTheNextOwner()
    {
        CallRouter router;
        router.route(PeerRoute{"entry-2"}, 100s);
        router.accept(1, submit(7), 2s, 100s);
        CPPUNIT_ASSERT(router.route(NoRoute{}, 100s).empty());
        const RouterEffects effects = router.route(LocalRoute{}, 100s);
        CPPUNIT_ASSERT(onlyEffect<HandleLocally>(effects) != nullptr);
        CPPUNIT_ASSERT(onlyEffect<HandleLocally>(effects)->forwardId > 1);
    }

    /// Guards against a call that waits for a change of owner after its receiver has returned it.
    void returnedCallIsRetried()
    {
        CallRouter router;
        router.route(PeerRoute{"entry-2"}, 100s);
        router.accept(1, submit(7), 2s, 100s);
        CPPUNIT_ASSERT(router.retry(1, 100s).empty());
        router.handleReturned(1, false);
        CPPUNIT_ASSERT(onlyEffect<SendToPeer>(router.retry(1, 100s)) != nullptr);
    }

    /// Guards against two answers to one request.
    void answersOnce()
    {
        CallRouter router;
        router.route(LocalRoute{}, 100s);
        router.accept(1, submit(7), 2s, 100s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), router.handleAnswer(1, {}).size());
        CPPUNIT_ASSERT(router.handleAnswer(1, {}).empty());
        CPPUNIT_ASSERT(router.expire(200s).empty());
        CPPUNIT_ASSERT(!router.nextDue().has_value());
    }

    /// Guards against passing on "not run" from a former owner for a job that its successor may have accepted in the meantime.
    void refusalOfFormerOwnerDoesNotCount()
    {
        CallRouter router;
        router.route(PeerRoute{"entry-2"}, 100s);
        const RouterEffects first = router.accept(1, submit(7), 2s, 100s);
        const RouterEffects second = router.route(PeerRoute{"entry-3"}, 100s);
        const ForwardId former = onlyEffect<SendToPeer>(first)->call.number;
        const ForwardId latest = onlyEffect<SendToPeer>(second)->call.number;
        CPPUNIT_ASSERT(router.handleAnswer(former, {.kind = Kind::Unavailable}).empty());
        CPPUNIT_ASSERT(router.handleAnswer(former, {.kind = Kind::NotFound}).empty());
        const RouterEffects effects = router.handleAnswer(latest, {.kind = Kind::Accepted});
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT_EQUAL(CallNumber(1), onlyEffect<AnswerCaller>(effects)->number);
    }

    /// Guards against calls that a stopping entry leaves without an answer, and against "not run" for calls that were forwarded.
    void answersAllCallsWhenStopping()
    {
        CallRouter router;
        router.accept(1, submit(7), 2s, 100s);
        RouterEffects effects = router.answerAll();
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects)->answer.kind == Kind::Unavailable);
        router.route(PeerRoute{"entry-2"}, 100s);
        router.accept(2, submit(8), 2s, 100s);
        effects = router.answerAll();
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects)->answer.kind == Kind::OutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), router.pending());
        CPPUNIT_ASSERT(!router.nextDue().has_value());
    }

    /// Guards against "not run" for a best-effort job that a lost owner may have started. A refusal of a stored job stays, as the next owner
    /// would find the job in the store if it had been accepted.
    void bestEffortRefusalAfterAnotherOwnerIsUnknown()
    {
        for (const bool bestEffort : {true, false}) {
            Jobs::SubmitCall call;
            call.job = 7;
            call.bestEffort = bestEffort;
            for (const Kind refusal : {Kind::Overloaded, Kind::Unavailable, Kind::Unsupported, Kind::UnknownQueue}) {
                CallRouter router;
                router.route(PeerRoute{"entry-2"}, 100s);
                router.accept(1, call, 2s, 100s);
                const RouterEffects second = router.route(PeerRoute{"entry-3"}, 100s);
                const RouterEffects effects = router.handleAnswer(onlyEffect<SendToPeer>(second)->call.number, {.kind = refusal});
                CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects) != nullptr);
                CPPUNIT_ASSERT(onlyEffect<AnswerCaller>(effects)->answer.kind == (bestEffort ? Kind::OutcomeUnknown : refusal));
            }
        }
    }

    /// Guards against a new owner that doesn't know that a job may have run under a former owner. A receiver that returned the call without
    /// having accepted it has started nothing.
    void tellsTheNextOwnerThatItMayHaveRun()
    {
        struct Case {
            bool returned = false;
            bool handled = false;
        };
        for (const Case former : {Case{false, true}, Case{true, false}, Case{true, true}}) {
            CallRouter router;
            router.route(PeerRoute{"entry-2"}, 100s);
            const RouterEffects first = router.accept(1, submit(7), 2s, 100s);
            CPPUNIT_ASSERT(!std::get<Jobs::SubmitCall>(onlyEffect<SendToPeer>(first)->call.call).mayHaveRun);
            if (former.returned) {
                router.handleReturned(onlyEffect<SendToPeer>(first)->call.number, former.handled);
            }
            const RouterEffects second = router.route(PeerRoute{"entry-3"}, 100s);
            CPPUNIT_ASSERT_EQUAL(former.handled, std::get<Jobs::SubmitCall>(onlyEffect<SendToPeer>(second)->call.call).mayHaveRun);
        }
    }

    /// Guards against a job that an entry hands to the next owner although its caller has stopped waiting, as the entry was suspended meanwhile.
    void callPastItsTimeoutIsNotForwardedAgain()
    {
        CallRouter router;
        router.accept(1, submit(7), 2s, 100s);
        router.accept(2, Jobs::CancelCall{8}, 2s, 100s);
        const RouterEffects effects = router.route(PeerRoute{"entry-2"}, 104s);
        CPPUNIT_ASSERT(onlyEffect<SendToPeer>(effects) != nullptr);
        CPPUNIT_ASSERT(std::holds_alternative<Jobs::CancelCall>(onlyEffect<SendToPeer>(effects)->call.call));
        const RouterEffects answers = router.expire(104s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), answers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), router.pending());
    }

    /// Guards against a job that an entry hands to the next owner although its caller has left.
    void callOfAGoneCallerIsNotForwardedAgain()
    {
        CallRouter router;
        router.route(PeerRoute{"entry-2"}, 100s);
        router.accept(1, submit(7), 9s, 100s);
        router.accept(2, submit(8), 9s, 100s);
        router.accept(3, Jobs::CancelCall{9}, 9s, 100s);
        const std::vector<DroppedCall> dropped = router.dropUnattended([](CallNumber number) { return number != 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), dropped.size());
        CPPUNIT_ASSERT_EQUAL(CallNumber(1), dropped[0].number);
        // The former owner may have accepted it.
        CPPUNIT_ASSERT(dropped[0].answer.kind == Kind::OutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), router.route(PeerRoute{"entry-3"}, 101s).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCallRouter);
