#pragma once

#include "base/types.h"
#include "protocol/messages.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace LaburnumFlow::DispatchTest {

/// One start at a backend server.
struct StartRecord {
    std::string agent;
    std::uint16_t attempt = 0;
    Base::MonoTime startedAt{};
    Base::MonoTime endsAt{};
    bool idempotent = false;
    std::uint64_t settingsRevision = 0;
};

/// All starts and their ends as they happened, independent of the records of the reducer and of the agents.
struct StartHistory {
    std::map<Base::TaskKey, std::vector<StartRecord>> starts;
    std::map<Base::Uuid, std::string> orderingKeys; ///< Of submissions with ordered tasks
    std::map<Base::TaskKey, std::uint64_t> orderPosition; ///< Position in the order of acceptance
    std::map<std::string, std::vector<std::pair<std::uint64_t, StartRecord>>> orders; ///< By ordering key, each start with its task's position
    std::vector<std::string> violations;

    /// Records a start and adds a violation if it conflicts with an earlier one.
    void recordStart(const Protocol::StartTask &task, const StartRecord &record);
};

/// Simulates an agent and its backend server: starts each attempt at most once, runs it for a random time, and refuses starts
/// with an old token, past their deadline, after the lease or, at random, as if its queue were full.
class ModelAgent
{
public:
    ModelAgent(std::string name, std::uint16_t slots, StartHistory &history, std::mt19937_64 &random);

    Base::ProcessId id() const
    {
        return {name_, incarnation_};
    }

    Protocol::AgentLoad load() const;
    void handle(const Protocol::AgentRequest &request, Base::MonoTime now);
    /// Starts queued tasks, and ends running ones that are done or whose lease has ended by now. lastEcho is the time of the newest
    /// token that the owner echoed.
    void advance(Base::MonoTime now, Base::MonoTime lastEcho);
    /// Ends the agent's process. Idempotent tasks at the backend server end by fencedAt at the latest, others run to their end.
    void crash(Base::MonoTime now, Base::MonoTime fencedAt);
    void restart();
    /// Returns the updates since the last call.
    std::vector<Protocol::TaskUpdate> takeUpdates();

    bool alive = true;
    bool failing = false; ///< Fails every task that it starts

private:
    struct Entry {
        Protocol::StartTask task;
        Protocol::TaskUpdate update;
        Base::MonoTime deadline{};
        Base::MonoTime endsAt{};
        std::size_t historyIndex = 0;
    };

    void accept(const Protocol::StartTask &task, const Protocol::ClockToken &token, Base::MonoTime now);
    void cancel(const Base::AttemptKey &key, Base::MonoTime now);
    void fence(const Base::AttemptKey &key);
    void startQueued(Base::MonoTime now);
    void end(Entry &entry, Protocol::AttemptState state, Protocol::AgentReason reason, Base::MonoTime now);
    void report(const Protocol::TaskUpdate &update);
    static bool isLive(const Entry &entry);

    std::string name_;
    std::uint64_t incarnation_ = 1;
    std::uint16_t slots_;
    StartHistory &history_;
    std::mt19937_64 &random_;
    std::map<Base::AttemptKey, Entry> entries_;
    std::vector<Base::AttemptKey> queue_;
    std::set<Base::AttemptKey> running_;
    std::vector<Protocol::TaskUpdate> updates_;
    Base::MonoTime lastEcho_{};
};

} // namespace LaburnumFlow::DispatchTest
