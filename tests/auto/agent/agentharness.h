#pragma once

#include "agent/agent.h"
#include "protocol/protocolconstants.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace LaburnumFlow::Agent {

using namespace std::chrono_literals;
using Protocol::AgentReason;
using Protocol::AttemptState;

constexpr std::uint64_t agentIncarnation = 77;

inline Base::AttemptKey makeAttemptKey(std::uint8_t submission, std::uint16_t attempt = 1)
{
    Base::AttemptKey key;
    key.task.submission.bytes[15] = submission;
    key.attempt = attempt;
    return key;
}

inline Protocol::StartTask makeStartTask(const Base::AttemptKey &key)
{
    Protocol::StartTask task;
    task.key = key;
    task.partition = 3;
    task.team = "adire";
    task.kind = "fold-preview";
    task.payload = "{}";
    task.settingsRevision = 5;
    task.rootRevision = 5;
    task.idempotent = true;
    task.expectedMs = 100;
    task.limitMs = 60'000;
    task.remainingMs = 30'000;
    return task;
}

/// Drives the reducer of an agent with a simulated clock. Keeps the effects of the last event and of all events.
struct Harness {
    explicit Harness(std::uint16_t slots = 2, std::uint16_t reserved = 1)
    {
        AgentConfig config;
        config.self = {"agent-1", agentIncarnation};
        config.seedEndpoints = {{"10.0.0.1", 1}};
        config.slots = slots;
        config.reservedShortSlots = reserved;
        state = initialState(config);
        advance(10s);
        feed(BackendStatus{BackendState::Serving, slots, {}});
        hello("a");
    }

    Effects feed(const Event &event)
    {
        lastEffects = reduce(state, event);
        allEffects.insert(allEffects.end(), lastEffects.begin(), lastEffects.end());
        return lastEffects;
    }

    Effects advance(Base::Duration by)
    {
        now += by;
        return feed(TimePassed{now, {}});
    }

    Protocol::ClockToken token(Base::Duration age = {}) const
    {
        return {agentIncarnation, (now - age).count()};
    }

    void hello(const std::string &entry, Base::Duration age = {})
    {
        feed(EntryHelloReceived{{}, {{entry, 1}, 1, token(age), {}}});
    }

    void request(const std::string &entry, const Protocol::AgentRequest &asked)
    {
        feed(EntryRequestReceived{{entry, 1}, asked});
    }

    void start(const Protocol::StartTask &task, Protocol::Epoch epoch = 1, const std::string &entry = "a")
    {
        request(entry, Protocol::StartBatch{epoch, token(), {task}});
    }

    void link(const std::string &entry, bool up)
    {
        feed(EntryLinkChanged{{entry, 1}, up});
    }

    /// Advances the clock in steps of the heartbeat interval. The entry echoes a new token after each step.
    void advanceWithEchoes(Base::Duration by, const std::string &entry = "a")
    {
        for (Base::Duration passed{}; passed < by; passed += Protocol::heartbeatInterval) {
            advance(Protocol::heartbeatInterval);
            hello(entry);
        }
    }

    /// Returns the newest update about the attempt among all updates sent to the entry so far.
    std::optional<Protocol::TaskUpdate> newestUpdateTo(const std::string &entry, const Base::AttemptKey &key) const
    {
        std::optional<Protocol::TaskUpdate> found;
        for (const Effect &effect : allEffects) {
            const auto *sent = std::get_if<SendToEntry>(&effect);
            const auto *updates = sent == nullptr ? nullptr : std::get_if<Protocol::TaskUpdates>(&sent->reply);
            if (updates == nullptr || sent->entry != entry) {
                continue;
            }
            for (const Protocol::TaskUpdate &update : updates->updates) {
                found = update.key == key ? update : found;
            }
        }
        return found;
    }

    template<class T>
    std::vector<T> effectsOfType() const
    {
        std::vector<T> found;
        for (const Effect &effect : allEffects) {
            if (const auto *match = std::get_if<T>(&effect)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    AgentState state;
    Base::MonoTime now{};
    Effects lastEffects;
    Effects allEffects;
};

} // namespace LaburnumFlow::Agent
