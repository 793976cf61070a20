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
const Effect *only(const RouterEffects &effects)
{
    return effects.size() == 1 ? std::get_if<Effect>(effects.data()) : nullptr;
}

} // namespace

class TestCallRouter : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCallRouter);
    CPPUNIT_TEST(waitsForAnOwner);
    CPPUNIT_TEST(refusedUnseenDidNotRun);
    CPPUNIT_TEST(unseenBestEffortIsUndecided);
    CPPUNIT_TEST(undecidedOncePassedOn);
    CPPUNIT_TEST(passedOnAgainToTheNextOwner);
    CPPUNIT_TEST(returnedCallIsRetried);
    CPPUNIT_TEST(answersOnce);
    CPPUNIT_TEST(abandonsWithTrueAnswers);
    CPPUNIT_TEST(refusalOfFormerOwnerDoesNotCount);
    CPPUNIT_TEST(refusalAfterAnotherOwnerIsUndecided);
    CPPUNIT_TEST(tellsTheNextOwnerThatItMayHaveRun);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against refusals during the short time in which the owner changes.
    void waitsForAnOwner()
    {
        CallRouter router;
        CPPUNIT_ASSERT(router.accept(1, submit(7), 2s, 100s).empty());
        const RouterEffects effects = router.route(PeerRoute{"entry-2"});
        CPPUNIT_ASSERT(only<SendToPeer>(effects) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), only<SendToPeer>(effects)->name);
    }

    /// Guards against callers who wait to the end for a job that no owner has seen.
    void refusedUnseenDidNotRun()
    {
        CallRouter router;
        router.accept(1, submit(7), 10s, 100s);
        CPPUNIT_ASSERT(router.expire(100s + submitTimeout - 1ms).empty());
        const RouterEffects effects = router.expire(100s + submitTimeout);
        CPPUNIT_ASSERT(only<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(only<AnswerCaller>(effects)->answer.kind == Kind::Unavailable);
        CPPUNIT_ASSERT(only<AnswerCaller>(effects)->answer.retryAfterS > 0);
    }

    /// Guards against "not run" for a best-effort job that may have run under a lost owner before its caller sent it again.
    void unseenBestEffortIsUndecided()
    {
        Jobs::SubmitCall call;
        call.job = 7;
        call.bestEffort = true;
        CallRouter router;
        router.accept(1, call, 10s, 100s);
        RouterEffects effects = router.expire(100s + submitTimeout);
        CPPUNIT_ASSERT(only<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(only<AnswerCaller>(effects)->answer.kind == Kind::OutcomeUnknown);
        router.accept(2, call, 10s, 102s);
        effects = router.answerAll();
        CPPUNIT_ASSERT(only<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(only<AnswerCaller>(effects)->answer.kind == Kind::OutcomeUnknown);
    }

    /// Guards against "not run" for a job that an owner may have started.
    void undecidedOncePassedOn()
    {
        CallRouter router;
        router.route(PeerRoute{"entry-2"});
        router.accept(1, submit(7), 2s, 100s);
        router.route(NoRoute{});
        CPPUNIT_ASSERT(router.expire(100s + submitTimeout).empty());
        const RouterEffects effects = router.expire(102s);
        CPPUNIT_ASSERT(only<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(only<AnswerCaller>(effects)->answer.kind == Kind::OutcomeUnknown);
    }

    /// Guards against calls that are lost with their owner.
    void passedOnAgainToTheNextOwner()
    {
        CallRouter router;
        router.route(PeerRoute{"entry-2"});
        router.accept(1, submit(7), 2s, 100s);
        CPPUNIT_ASSERT(router.route(NoRoute{}).empty());
        const RouterEffects effects = router.route(LocalRoute{});
        CPPUNIT_ASSERT(only<HandleLocally>(effects) != nullptr);
        CPPUNIT_ASSERT(only<HandleLocally>(effects)->forwardId > 1);
    }

    /// Guards against a call that waits for a change of owner after its receiver did not take it.
    void returnedCallIsRetried()
    {
        CallRouter router;
        router.route(PeerRoute{"entry-2"});
        router.accept(1, submit(7), 2s, 100s);
        CPPUNIT_ASSERT(router.retry(1).empty());
        router.handleReturned(1, false);
        CPPUNIT_ASSERT(only<SendToPeer>(router.retry(1)) != nullptr);
    }

    /// Guards against two answers to one request.
    void answersOnce()
    {
        CallRouter router;
        router.route(LocalRoute{});
        router.accept(1, submit(7), 2s, 100s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), router.handleAnswer(1, {}).size());
        CPPUNIT_ASSERT(router.handleAnswer(1, {}).empty());
        CPPUNIT_ASSERT(router.expire(200s).empty());
        CPPUNIT_ASSERT(!router.nextDue().has_value());
    }

    /// Guards against "not run" from a former owner for a job that its successor has accepted meanwhile.
    void refusalOfFormerOwnerDoesNotCount()
    {
        CallRouter router;
        router.route(PeerRoute{"entry-2"});
        const RouterEffects first = router.accept(1, submit(7), 2s, 100s);
        const RouterEffects second = router.route(PeerRoute{"entry-3"});
        const ForwardId former = only<SendToPeer>(first)->call.number;
        const ForwardId latest = only<SendToPeer>(second)->call.number;
        CPPUNIT_ASSERT(router.handleAnswer(former, {.kind = Kind::Unavailable}).empty());
        CPPUNIT_ASSERT(router.handleAnswer(former, {.kind = Kind::NotFound}).empty());
        const RouterEffects effects = router.handleAnswer(latest, {.kind = Kind::Accepted});
        CPPUNIT_ASSERT(only<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT_EQUAL(CallNumber(1), only<AnswerCaller>(effects)->number);
    }

    /// Guards against calls that a stopping entry leaves without an answer, and against "not run" for what an owner has taken.
    void abandonsWithTrueAnswers()
    {
        CallRouter router;
        router.accept(1, submit(7), 2s, 100s);
        RouterEffects effects = router.answerAll();
        CPPUNIT_ASSERT(only<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(only<AnswerCaller>(effects)->answer.kind == Kind::Unavailable);
        router.route(PeerRoute{"entry-2"});
        router.accept(2, submit(8), 2s, 100s);
        effects = router.answerAll();
        CPPUNIT_ASSERT(only<AnswerCaller>(effects) != nullptr);
        CPPUNIT_ASSERT(only<AnswerCaller>(effects)->answer.kind == Kind::OutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), router.pending());
        CPPUNIT_ASSERT(!router.nextDue().has_value());
    }

    /// Guards against "not run" for a best-effort job that a former owner had started before it was lost. A stored job that
    /// the next owner does not find in the store has not run.
    void refusalAfterAnotherOwnerIsUndecided()
    {
        for (const bool bestEffort : {true, false}) {
            Jobs::SubmitCall call;
            call.job = 7;
            call.bestEffort = bestEffort;
            for (const Kind refusal : {Kind::Overloaded, Kind::Unavailable}) {
                CallRouter router;
                router.route(PeerRoute{"entry-2"});
                router.accept(1, call, 2s, 100s);
                const RouterEffects second = router.route(PeerRoute{"entry-3"});
                const RouterEffects effects = router.handleAnswer(only<SendToPeer>(second)->call.number, {.kind = refusal});
                CPPUNIT_ASSERT(only<AnswerCaller>(effects) != nullptr);
                CPPUNIT_ASSERT(only<AnswerCaller>(effects)->answer.kind == (bestEffort ? Kind::OutcomeUnknown : refusal));
            }
        }
    }

    /// Guards against a new owner that gives up a job which has run already; one that did not take the call started nothing.
    void tellsTheNextOwnerThatItMayHaveRun()
    {
        struct Case {
            bool returned = false;
            bool handled = false;
        };
        for (const Case former : {Case{false, true}, Case{true, false}, Case{true, true}}) {
            CallRouter router;
            router.route(PeerRoute{"entry-2"});
            const RouterEffects first = router.accept(1, submit(7), 2s, 100s);
            CPPUNIT_ASSERT(!std::get<Jobs::SubmitCall>(only<SendToPeer>(first)->call.call).mayHaveRun);
            if (former.returned) {
                router.handleReturned(only<SendToPeer>(first)->call.number, former.handled);
            }
            const RouterEffects second = router.route(PeerRoute{"entry-3"});
            CPPUNIT_ASSERT_EQUAL(former.handled, std::get<Jobs::SubmitCall>(only<SendToPeer>(second)->call.call).mayHaveRun);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCallRouter);
