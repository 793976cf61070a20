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

/// What really started and ended, kept apart from the reducer's and the agents' own records.
struct StartRecord {
    std::string agent;
    std::uint16_t attempt = 0;
    Base::MonoTime startedAt{};
    Base::MonoTime endsAt{};
    bool idempotent = false;
    std::uint64_t settingsRevision = 0;
};

struct StartHistory {
    std::map<Base::TaskKey, std::vector<StartRecord>> starts;
    std::map<Base::Uuid, std::string> orderingKeys; ///< ordering key of a submission with ordered tasks
    std::map<Base::TaskKey, std::uint64_t> orderPosition; ///< order of arrival
    std::map<std::string, std::vector<std::pair<std::uint64_t, StartRecord>>> orders;
    std::vector<std::string> violations;

    /// Records a start and checks it against all earlier ones.
    void recordStart(const Protocol::StartTask &task, const StartRecord &record);
};

/// An agent and its backend server: starts what it is told once, runs it for a random time, and refuses as the design says.
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
    /// Moves time on: starts queued tasks, ends running ones, lets leases run out. lastEcho is the newest token echoed.
    void advance(Base::MonoTime now, Base::MonoTime lastEcho);
    /// Ends the process; what runs at the backend server ends when its lease does.
    void crash(Base::MonoTime now, Base::MonoTime fencedAt);
    void restart();
    /// Updates that are due to be sent.
    std::vector<Protocol::TaskUpdate> takeUpdates();

    bool alive = true;
    bool failing = false; ///< fails every task that it starts

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
