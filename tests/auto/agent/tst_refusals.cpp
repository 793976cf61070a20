#include "agentexpectations.h"

#include "agent/agentconstants.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Agent;

namespace {

struct RefusalCase {
    const char *name;
    AgentReason reason; ///< None if the task is to start
    std::function<void(Harness &)> before;
    std::function<void(Protocol::StartBatch &)> change;
};

void keepBatch(Protocol::StartBatch &) { }

void keepAgent(Harness &) { }

void fillAgent(Harness &agent)
{
    for (std::size_t i = 0; i < 2 + 2 * maxQueuedPerSlot; ++i) {
        agent.start(makeStartTask(makeAttemptKey(static_cast<std::uint8_t>(100 + i))));
    }
}

const RefusalCase refusalCases[] = {
    {"accepted", AgentReason::None, keepAgent, keepBatch},
    {"token at its limit", AgentReason::None, keepAgent, [](auto &batch) { batch.token.agentMonoUs -= Protocol::maxTokenAge.count(); }},
    {"token too old", AgentReason::TokenTooOld, keepAgent, [](auto &batch) { batch.token.agentMonoUs -= Protocol::maxTokenAge.count() + 1; }},
    {"token from the future", AgentReason::TokenTooOld, keepAgent, [](auto &batch) { batch.token.agentMonoUs += 1; }},
    {"token of another incarnation", AgentReason::TokenTooOld, keepAgent, [](auto &batch) { ++batch.token.agentIncarnation; }},
    {"epoch below a fence query's",
     AgentReason::EpochTooLow,
     [](Harness &agent) {
         agent.request("b", Protocol::FenceQuery{2, {3}});
     },
     keepBatch},
    {"epoch below another start's", AgentReason::EpochTooLow, [](Harness &agent) { agent.start(makeStartTask(makeAttemptKey(9)), 2, "b"); }, keepBatch},
    {"epoch of another partition",
     AgentReason::None,
     [](Harness &agent) {
         agent.request("b", Protocol::FenceQuery{2, {4}});
     },
     keepBatch},
    {"partition out of range", AgentReason::EpochTooLow, keepAgent, [](auto &batch) { batch.tasks[0].partition = 256; }},
    {"team revision too low",
     AgentReason::SettingsTooOld,
     [](Harness &agent) { agent.start(makeStartTask(makeAttemptKey(9))); },
     [](auto &batch) { batch.tasks[0].settingsRevision = 4; }},
    {"root revision too low",
     AgentReason::SettingsTooOld,
     [](Harness &agent) { agent.start(makeStartTask(makeAttemptKey(9))); },
     [](auto &batch) { batch.tasks[0].rootRevision = 4; }},
    {"revision of another team",
     AgentReason::None,
     [](Harness &agent) { agent.start(makeStartTask(makeAttemptKey(9))); },
     [](auto &batch) { batch.tasks[0].team = "kitami", batch.tasks[0].settingsRevision = 4; }},
    {"draining", AgentReason::Draining, [](Harness &agent) { agent.feed(DrainRequested{}); }, keepBatch},
    {"backend server leaves",
     AgentReason::Draining,
     [](Harness &agent) {
         agent.feed(BackendStatus{BackendState::Leaving, 2, {}});
     },
     keepBatch},
    {"one failed status call", AgentReason::None, [](Harness &agent) { agent.feed(BackendStatus{}); }, keepBatch},
    {"backend server unreachable",
     AgentReason::BackendUnreachable,
     [](Harness &agent) { agent.feed(BackendStatus{}), agent.feed(BackendStatus{}); },
     keepBatch},
    {"kind unknown",
     AgentReason::KindUnknown,
     [](Harness &agent) {
         agent.feed(BackendStatus{BackendState::Serving, 2, {"fold-plan"}});
     },
     keepBatch},
    {"no time left", AgentReason::DeadlinePast, keepAgent, [](auto &batch) { batch.tasks[0].remainingMs = 0; }},
    {"queue full", AgentReason::QueueFull, fillAgent, keepBatch},
    {"another attempt runs", AgentReason::Duplicate, [](Harness &agent) { agent.start(makeStartTask(makeAttemptKey(1, 2))); }, keepBatch},
    {"cancelled before",
     AgentReason::Fenced,
     [](Harness &agent) {
         agent.request("a", Protocol::CancelTasks{1, {key1}});
     },
     keepBatch},
    {"queried before",
     AgentReason::Fenced,
     [](Harness &agent) {
         agent.request("a", Protocol::QueryAttempts{1, {key1}});
     },
     keepBatch},
};

} // namespace

class TestRefusals : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRefusals);
    CPPUNIT_TEST(refusals);
    CPPUNIT_TEST(knownAttempt);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against starting a task that must be refused, and against starting a refused attempt later, when the reason no
    /// longer applies.
    void refusals()
    {
        for (const RefusalCase &row : refusalCases) {
            Harness agent;
            row.before(agent);
            Protocol::StartBatch batch{1, agent.token(), {makeStartTask(key1)}};
            row.change(batch);
            agent.request("a", batch);
            const bool accepted = row.reason == AgentReason::None;
            expectUpdate(agent, row.name, "a", key1, agent.newestUpdateTo("a", key1)->state, row.reason);
            const auto starts = agent.effectsOfType<BackendStart>();
            const bool started = std::any_of(starts.begin(), starts.end(), [](const auto &effect) { return effect.key == key1; });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, accepted, started);
            if (!accepted && row.reason != AgentReason::Fenced) {
                CPPUNIT_ASSERT_MESSAGE(row.name, counterTotal(agent, "agent.refused." + std::string(toString(row.reason))) >= 1);
                agent.request("a", Protocol::StartBatch{9, agent.token(), batch.tasks});
                expectUpdate(agent, row.name, "a", key1, AttemptState::Refused, row.reason);
            }
        }
    }

    /// Guards against a second start when the same attempt is delivered again, even by an owner of a higher epoch.
    void knownAttempt()
    {
        Harness agent;
        agent.start(makeStartTask(key1));
        agent.start(makeStartTask(key1), 2, "b");
        expectUpdate(agent, "running", "b", key1, AttemptState::Running);
        agent.feed(BackendTaskEnded{key1, BackendOutcome::Succeeded, "1"});
        agent.start(makeStartTask(key1), 2, "b");
        expectUpdate(agent, "ended", "b", key1, AttemptState::Succeeded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.effectsOfType<BackendStart>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRefusals);
