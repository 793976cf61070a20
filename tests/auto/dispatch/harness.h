#pragma once

#include "dispatch/dispatch.h"

#include <map>
#include <string>
#include <vector>

namespace LaburnumFlow::DispatchTest {

using namespace std::chrono_literals;

/// One entry for tests: a ClusterState filled by hand, the reducer under test and the effects that it returned.
class Harness
{
public:
    explicit Harness(std::uint64_t seed = 1, Dispatch::PlacementPolicy policy = Dispatch::ExpectedWait{});

    Settings::TeamRules &team(const std::string &name);
    Settings::KindRules &kind(const std::string &teamName, const std::string &name, bool idempotent = true);
    Cluster::AgentInfo &agent(const std::string &name, std::uint16_t slots = 8, std::uint64_t incarnation = 1);

    /// Makes this entry the owner of the partition.
    void setOwner(Protocol::Partition partition, const std::string &entry);

    /// Advances both clocks in ticks of 10 ms, with a heartbeat of each agent at each tick.
    void advance(Base::Duration time);
    void send(const Events::Event &event);
    void change(const Cluster::Change &event);

    /// Submits a job and returns the request number.
    Events::RequestId submit(Protocol::JobBody job, std::optional<Base::Uuid> id = std::nullopt);
    Events::RequestId submit(const std::string &teamName, const std::string &kindName, std::size_t tasks = 1, std::uint32_t deadlineMs = 0);
    static Protocol::JobBody body(const std::string &teamName, const std::string &kindName, std::size_t tasks = 1, std::uint32_t deadlineMs = 0);
    Base::Uuid newId(Base::WallTime offset = {});
    /// Returns an id with the present time that belongs to the partition.
    Base::Uuid idIn(Protocol::Partition partition);

    void update(const std::string &agentName,
                const Base::AttemptKey &key,
                Protocol::AttemptState attemptState,
                Protocol::AgentReason reason = {},
                std::string result = "1",
                std::uint32_t runMs = 100);
    /// Ends every attempt that was sent since the last call, or only those of one agent, and returns their number.
    std::size_t finishAll(Protocol::AttemptState attemptState = Protocol::AttemptState::Succeeded, const std::string &onlyAgent = {});

    /// Returns the failure that answered the request, with reason None if the job succeeded. Fails the test unless the request
    /// was answered exactly once.
    Protocol::JobFailed failure(Events::RequestId request) const;
    bool answered(Events::RequestId request) const;
    std::uint64_t counter(const std::string &name) const;

    struct SentStart {
        std::string agent;
        Protocol::StartTask task;
    };

    template<typename Message>
    std::vector<Message> peerMessages() const
    {
        std::vector<Message> messages;
        for (const Events::SendToPeer &sent : peerSends) {
            if (const auto *message = std::get_if<Message>(&sent.message)) {
                messages.push_back(*message);
            }
        }
        return messages;
    }

    Cluster::ClusterState cluster;
    Dispatch::DispatchState state;
    std::vector<SentStart> starts; ///< Attempts not yet ended by finishAll()
    std::size_t startCount = 0; ///< All attempts sent
    std::vector<Events::SendToAgent> agentSends; ///< Cancellations and queries
    std::vector<Events::SendToPeer> peerSends;
    std::map<Events::RequestId, std::vector<Protocol::JobAnswer>> answers;
    std::map<Events::RequestId, Base::Uuid> ids;
    std::vector<Events::AnswerStatus> statuses;

private:
    void collect(Events::Effects effects);

    std::map<std::string, std::uint64_t> counters_;
    Events::RequestId lastRequest_ = 0;
};

} // namespace LaburnumFlow::DispatchTest
