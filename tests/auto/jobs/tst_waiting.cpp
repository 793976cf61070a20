#include "waitingjobs.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Jobs;
using namespace LaburnumFlow::Jobs::Testing;
using namespace std::chrono_literals;

/// Jobs that can't start must not keep others from starting, and each accepted job starts once there is room for it.
class TestWaiting : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWaiting);
    CPPUNIT_TEST(jobsWithoutAWorkerOfTheirKindLetOthersStart);
    CPPUNIT_TEST(jobsOfAServiceWithoutWorkersLetOthersStart);
    CPPUNIT_TEST(jobsThatAreTooLargeLetOthersStart);
    CPPUNIT_TEST(gangsThatCanNotBePlacedLetOthersStart);
    CPPUNIT_TEST(jobsWithoutTicketsLetOthersStart);
    CPPUNIT_TEST(jobsThatWaitStartOnceAWorkerOfTheirKindComes);
    CPPUNIT_TEST(slowWorkersAreLeftToJobsThatAreNotInAHurry);
    CPPUNIT_TEST(jobsWithoutAWorkerOfTheirKindAreNoBacklog);
    CPPUNIT_TEST(jobsOfAnotherServiceAreNoBacklog);
    CPPUNIT_TEST(gangsThatCanNotBePlacedAreNoBacklogWhileThereIsRoom);
    CPPUNIT_TEST(stepWhoseCallsFailLetsOthersBeAskedAbout);
    CPPUNIT_TEST(stepWithoutRoomLetsOthersBeAskedAbout);
    CPPUNIT_TEST(longJobDoesNotWaitLongForAFasterWorker);
    CPPUNIT_TEST(longGangDoesNotWaitLongForOneRack);
    CPPUNIT_TEST(longWaitsAreLoggedWithTheirReason);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against idle workers once many stored jobs wait for a kind of worker that is lost: they are older, so they come first in the queue.
    void jobsWithoutAWorkerOfTheirKindLetOthersStart()
    {
        checkOthersStart(requiring(submission(0, 1), rareLabel));
    }

    /// Guards against the same with jobs of another service, all of whose workers are lost.
    void jobsOfAServiceWithoutWorkersLetOthersStart()
    {
        SubmitCall blocked = submission(0, 1);
        blocked.rules.service = "other-service";
        checkOthersStart(blocked);
    }

    /// Guards against the same with tasks that need more memory than any worker has.
    void jobsThatAreTooLargeLetOthersStart()
    {
        SubmitCall blocked = submission(0, 1);
        blocked.spec.steps.front().need.memoryMb = 1'000'000;
        checkOthersStart(blocked);
    }

    /// Guards against the same with gangs that need more workers than there are.
    void gangsThatCanNotBePlacedLetOthersStart()
    {
        SubmitCall blocked = submission(0, 3);
        blocked.spec.steps.front().gang = true;
        blocked.spec.steps.front().maxPerWorker = 1;
        checkOthersStart(blocked);
    }

    /// Guards against the same with jobs that the advice service allows on no worker.
    void jobsWithoutTicketsLetOthersStart()
    {
        checkOthersStart(advised(submission(0, 1)));
    }

    /// Guards against jobs that are left out for good because others of their kind found no worker.
    void jobsThatWaitStartOnceAWorkerOfTheirKindComes()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        submitBlocked(owner, requiring(submission(0, 1), rareLabel));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.joinOnRack("agent-2", rareLabel, workerMilli);
        CPPUNIT_ASSERT_EQUAL(std::size_t(workerMilli / 1000), owner.orderedStartCount());
    }

    /// Guards against leaving out jobs that may run on a slow worker because an earlier job of their kind would end too late there.
    void slowWorkersAreLeftToJobsThatAreNotInAHurry()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        SubmitCall hurried = submission(1, 1, 1000);
        hurried.rules.targetMs = 900;
        SubmitCall patient = submission(2, 1, 1000);
        patient.rules.targetMs = 5000;
        for (SubmitCall *call : {&hurried, &patient}) {
            call->spec.steps.front().dataRack = "rack-of-no-worker";
            call->rules.stretch = 1.0;
        }
        owner.state.settings.remoteFactor = 2.5;
        owner.submit(1, hurried);
        owner.submit(2, patient);
        owner.commit();
        owner.advanceTime(commitInterval);
        owner.commit();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(owner, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 2));
    }

    /// Guards against refusing jobs because of a backlog that no worker may run: it needs none of the capacity.
    void jobsWithoutAWorkerOfTheirKindAreNoBacklog()
    {
        checkNoBacklog(requiring(submission(0, 1, 100, 20'000), rareLabel), true);
    }

    /// Guards against refusing jobs because of the backlog of another service, which has workers of its own.
    void jobsOfAnotherServiceAreNoBacklog()
    {
        SubmitCall blocked = submission(0, 1, 100, 20'000);
        blocked.rules.service = "other-service";
        checkNoBacklog(blocked, true);
    }

    /// Guards against refusing jobs that can start at once because of gangs that wait for more workers than there are.
    void gangsThatCanNotBePlacedAreNoBacklogWhileThereIsRoom()
    {
        SubmitCall blocked = submission(0, 3, 100, 20'000);
        blocked.spec.steps.front().gang = true;
        blocked.spec.steps.front().maxPerWorker = 1;
        checkNoBacklog(blocked, false);
    }

    /// Guards against an advice service that is asked about one step again and again while its calls for that step fail.
    void stepWhoseCallsFailLetsOthersBeAskedAbout()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, advised(submission(1, 1)));
        submitAndCommit(owner, advised(submission(2, 1)));
        for (int i = 0; i < 5; ++i) {
            const AskAdvice asked = owner.adviceRequests.back();
            const bool answered = asked.step.job == 2;
            owner.feed(AdviceGiven{asked.number, answered, {{"worker-agent-1", "ticket"}}, std::nullopt});
            owner.advanceTimeWithReports(adviceRetryDelayMax);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 2));
    }

    /// Guards against the same with steps whose tickets expire before they find room.
    void stepWithoutRoomLetsOthersBeAskedAbout()
    {
        constexpr auto answerTime = 40ms;
        constexpr std::uint32_t validMs = 350;
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        submitAndCommit(owner, submission(1, 1, 60'000, 2000));
        for (const JobId job : {JobId(2), JobId(3)}) {
            submitAndCommit(owner, advised(submission(job, 1, 100, workerMilli - 1000)));
        }
        submitAndCommit(owner, advised(submission(4, 1)));
        for (int i = 0; i < 6; ++i) {
            owner.feed(AdviceGiven{owner.adviceRequests.back().number, true, {{"worker-agent-1", "ticket"}}, validMs});
            owner.advanceTime(answerTime);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 4));
    }

    /// Guards against idle workers while long jobs wait to run near their data, where no worker is left.
    void longJobDoesNotWaitLongForAFasterWorker()
    {
        OwnerHarness owner({"agent-1"});
        owner.join("agent-1", workerMilli);
        SubmitCall call = submission(1, 1, 60'000);
        call.spec.steps.front().dataRack = "rack-of-no-worker";
        owner.state.settings.remoteFactor = 2.0;
        submitAndCommit(owner, call);
        owner.advanceTimeWithReports(maxPlacementWait + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 1));
    }

    /// Guards against idle workers while a long gang waits for one rack that long tasks occupy.
    void longGangDoesNotWaitLongForOneRack()
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.joinOnRack("agent-1", "rack-1", 2000);
        submitAndCommit(owner, submission(1, 1, 60'000));
        owner.joinOnRack("agent-2", "rack-2", 2000);
        submitAndCommit(owner, submission(2, 1, 60'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.orderedStarts("agent-2").size());
        SubmitCall call = gang(submission(3, 2, 60'000));
        call.spec.steps.front().sameRack = true;
        submitAndCommit(owner, call);
        owner.advanceTimeWithReports(maxPlacementWait + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 3));
    }

    /// Guards against jobs that wait without a word in the log on what they wait for.
    void longWaitsAreLoggedWithTheirReason()
    {
        SubmitCall tooLarge = submission(0, 1);
        tooLarge.spec.steps.front().need.memoryMb = 1'000'000;
        const std::vector<std::pair<std::string, SubmitCall>> cases{
            {"no-worker", requiring(submission(0, 1), rareLabel)},
            {"too-large", tooLarge},
            {"no-ticket", advised(submission(0, 1))},
            {"no-room", gang(submission(0, 3, 100, 20'000))},
        };
        for (const auto &[reason, call] : cases) {
            OwnerHarness owner({"agent-1", "agent-2"});
            owner.join("agent-1", workerMilli);
            owner.join("agent-2", workerMilli);
            submitBlocked(owner, call);
            owner.advanceTimeWithReports(waitLogDelay);
            owner.submit(1, bestEffort(1, 1));
            const auto logged
                = std::find_if(owner.decisions.begin(), owner.decisions.end(), [](const Decision &decision) { return decision.event == "job.waits"; });
            CPPUNIT_ASSERT(logged != owner.decisions.end());
            CPPUNIT_ASSERT_EQUAL(reason, logged->fields.at(3).second);
        }
    }

private:
    /// Checks that a job isn't refused because jobs like the given one wait, also while the workers are full for a moment if \a whileFull is set.
    static void checkNoBacklog(const SubmitCall &blocked, bool whileFull)
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        submitBlocked(owner, blocked);
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        owner.submit(1, bestEffort(1, 2, 100, workerMilli));
        CPPUNIT_ASSERT(!owner.answerTo(1).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
        if (whileFull) {
            owner.submit(2, bestEffort(2, 1));
            CPPUNIT_ASSERT(!owner.answerTo(2).has_value());
            owner.reportEnd("agent-1", owner.orderedStarts("agent-1").at(0), RunOutcome::Done);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(owner, 2));
        }
    }

    /// Lets jobs like the given one wait until they go before all others, and checks that another job starts at once.
    static void checkOthersStart(const SubmitCall &blocked)
    {
        OwnerHarness owner({"agent-1", "agent-2"});
        owner.join("agent-1", workerMilli);
        owner.join("agent-2", workerMilli);
        submitBlocked(owner, blocked);
        owner.advanceTimeWithReports(starvationTimeout + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), owner.orderedStartCount());
        owner.submit(1, requiring(bestEffort(1, 2), commonLabel));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(owner, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestWaiting);
