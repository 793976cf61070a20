#pragma once

#include "awaitingrequests.h"
#include "duetimer.h"
#include "nodeprocess.h"
#include "storetimeout.h"
#include "turntimer.h"

#include "entrynode/attendance.h"
#include "entrynode/callrouter.h"
#include "entrynode/ownership.h"
#include "entrynode/rulesexchange.h"
#include "entrynode/rulesfeed.h"
#include "httpio/httpclient.h"
#include "httpio/httpfront.h"
#include "jobs/jobshape.h"
#include "jobs/owner.h"
#include "platform/storedialect.h"
#include "rules/replica.h"
#include "runtime/dependencywatch.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace LaburnumFlow::Node {

/// Runs an entry until it is told to stop. Returns the exit status.
int runEntry(const Settings::NodeSettings &settings, const std::string &settingsFile);

/// Executes the effects of the entry's reducers: ownership of the jobs, the owner's scheduling if this entry is the owner, and
/// forwarding of callers' requests to the owner.
class EntryProcess : public NodeProcess
{
public:
    EntryProcess(const Settings::NodeSettings &settings, std::string settingsFile);

private:
    /// A caller of this entry that waits for the owner's answer.
    struct LocalCaller {
        EntryNode::ForwardId forwardId = 0;
    };

    /// Another entry that waits for the owner's answer to a call that it has relayed.
    struct RelayingEntry {
        Net::LinkId link = 0;
        std::uint64_t number = 0;
    };

    /// A caller's request that has not been answered yet.
    struct OpenRequest {
        Base::MonoTime startedAt{};
        std::string_view kind; ///< kind of the call in the metrics
    };

    using Waiting = std::variant<LocalCaller, RelayingEntry>;

    // Start, stop and status of the process.
    bool listen() override;
    void begin() override;
    void beginStop() override;
    void refreshMetrics() override;
    std::string status() const override;
    LogFields identity() const override;

    // Links.
    void linkConnected(Net::LinkId link) override;
    void linkAccepted(Net::LinkId link) override;
    void linkFrame(Net::LinkId link, std::span<const std::uint8_t> frame) override;
    void linkClosed(Net::LinkId link, Net::LinkEnd reason) override;
    void handle(Net::LinkId link, Jobs::AgentHello &hello);
    void handle(Net::LinkId link, Jobs::AgentReport &report);
    void handle(Net::LinkId link, Jobs::EntryHello &hello);
    void handle(Net::LinkId link, Jobs::EntryBeat &heartbeat);
    void handle(Net::LinkId link, Jobs::EntryBeatReply &reply);
    void handle(Net::LinkId link, Jobs::RelayedCall &call);
    void handle(Net::LinkId link, Jobs::RelayedAnswer &answer);
    void handle(Net::LinkId link, Jobs::OwnerOrders &orders);
    void handle(Net::LinkId link, Jobs::RulesAnnouncement &announcement);
    void handle(Net::LinkId link, Jobs::RulesRequest &request);
    void handle(Net::LinkId link, Jobs::RulesUpdate &update);
    /// Returns the newest link that the entry has dialed.
    std::optional<Net::LinkId> linkFrom(const std::string &entry) const;

    // Callers.
    void handleRequest(const HttpIo::ServerRequest &request);
    void logDropped(const Jobs::Call &call, EntryNode::Unattended reason);
    void answerCaller(HttpIo::RequestId request, HttpIo::ServerResponse response);
    void handleReady(const HttpIo::ServerRequest &request);
    void carryOut(EntryNode::RouterEffects effects);
    void carryOut(EntryNode::HandleLocally &call);
    void carryOut(EntryNode::SendToPeer &call);
    void carryOut(EntryNode::AnswerCaller &answer);
    bool endsBeforeStop(const Jobs::SubmitCall &submit) const;
    bool hasRoute() const;
    void updateRoute();
    /// Answers the pending calls that nobody waits for any more, so that they aren't forwarded again.
    void dropUnattendedCalls();
    void answerDropped(const EntryNode::DroppedCall &dropped);
    /// Forwards a call again that its receiver has returned, if anybody waits for it.
    void retryCall(EntryNode::ForwardId forwardId);

    // Ownership.
    void feedOwnership(const EntryNode::OwnershipEvent &event);
    void carryOut(EntryNode::ReadCluster &read);
    void carryOut(EntryNode::GrantLease &grant);
    void carryOut(EntryNode::RenewLease &renew);
    void carryOut(EntryNode::WritePresence &write);
    void carryOut(EntryNode::Claim &claim);
    void carryOut(EntryNode::WriteConfirmers &write);
    void carryOut(EntryNode::LoadJobs &load);
    void carryOut(EntryNode::BeginOwning &begin);
    void carryOut(EntryNode::OwnershipLost &lost);
    void carryOut(EntryNode::AuthorityRenewed &renewed);
    void carryOut(EntryNode::FormerOwnersFenced &fenced);
    void carryOut(EntryNode::DialPeer &dial);
    void carryOut(EntryNode::DisconnectPeer &disconnect);
    void carryOut(EntryNode::SendHeartbeat &heartbeat);
    void carryOut(EntryNode::SendHeartbeatReply &reply);
    void carryOut(EntryNode::EntryEndpointsChanged &changed);
    void carryOut(EntryNode::OwnerChanged &changed);
    void carryOut(EntryNode::OwnershipDecision &decision);
    void loadPage(std::string prefix, const std::string &after);
    bool isLoading(std::uint64_t load) const;
    void retryLoad(std::uint64_t load);
    void loaded();

    // The owner's reducer.
    /// Handles an event of the owner. Its tasks and orders follow at the end of the turn.
    void feedOwner(const Jobs::OwnerEvent &event);
    void endOwnerTurn();
    /// Notes how long the events of the owner's turn have waited at most, and logs from time to time that this was long.
    void measureOwnerTurn();
    void carryOut(Jobs::OwnerEffects effects);
    void carryOut(Jobs::Reply &reply);
    void carryOut(Jobs::SendOrders &orders);
    void carryOut(Jobs::StartCommit &commit);
    void carryOut(Jobs::AskAdvice &ask);
    void carryOut(Jobs::StepDown &stepDown);
    void carryOut(Jobs::Decision &decision);
    /// Dials an agent at intervals until the given time, as an agent that restarts during a store outage can't find the entries by itself.
    void dialAgent(const std::string &name, Base::MonoTime until);
    void forwardToOwner(Waiting waiting, Jobs::Call call);
    /// Lets the agents of this owner link to its successor, which may be unknown to them. The successor's port is 0 if it isn't known.
    void sendSuccessorToAgents(const Base::Endpoint &successor);
    void stepDown(const std::string &reason);

    // Rules.
    void feedRules(const EntryNode::RulesFeedEvent &event);
    void feedRulesExchange(const EntryNode::RulesExchangeEvent &event);
    void connectRulesFeedAndExchange();
    void carryOut(EntryNode::ReadRules &read);
    void carryOut(EntryNode::WatchRules &watch);
    void carryOut(EntryNode::AdoptRules &adopt);
    void carryOut(EntryNode::AnnounceRules &announce);
    void carryOut(EntryNode::RequestRulesUpdate &request);
    void carryOut(EntryNode::RulesConfirmed &confirmed);
    void carryOut(EntryNode::RulesBehind &behind);
    void rulesAdopted(std::int64_t revision, const std::string &source);
    Jobs::RulesChanged ownerRules() const;
    bool mayGetRoute(const HttpIo::ServerRequest &request) const;
    void answerExpiredRequests();

    // The store.
    /// Sends a request with a short response to the store, with the adaptive timeout or that of the request if it is shorter. name is the call's name in the metrics.
    void callStore(std::string_view name, HttpIo::ClientRequest request, std::function<void(const HttpIo::ClientResponse &)> handle);
    /// Sends a request whose response may be long or come late. It fails when nothing arrives for stallTimeout, however long the whole response takes, and
    /// doesn't count for the adaptive timeout.
    void readFromStore(HttpIo::HttpClient &client,
                       std::string_view name,
                       HttpIo::ClientRequest request,
                       Base::Duration stallTimeout,
                       std::function<void(const HttpIo::ClientResponse &)> handle);
    void watchStore(std::string_view name, const HttpIo::ClientResponse &response);

    // Timer and shutdown.
    std::optional<Base::MonoTime> nextDue() const;
    void onTimer();
    void stepDownWhenRecorded();
    void finishWhenIdle();

    HttpIo::HttpClient storeCalls_;
    HttpIo::HttpClient rulesCalls_; ///< to the store, on a connection that a waiting watch may occupy
    HttpIo::HttpClient adviceCalls_;
    HttpIo::HttpFront callers_;
    HttpIo::HttpFront ready_;
    Net::LoopLinks links_;
    std::string storeAddress_;
    std::string adviceAddress_; ///< of the advice service; empty if there is none
    StoreTimeout storeTimeout_;
    Runtime::DependencyWatch storeWatch_;

    EntryNode::OwnershipState ownership_;
    EntryNode::CallRouter router_;
    std::string ownerName_; ///< entry that owns the jobs according to ownership_; empty if there is none
    std::optional<Jobs::OwnerState> owner_; ///< set while this entry owns the jobs
    Jobs::StoredJobs loadedJobs_;
    std::uint64_t loads_ = 0; ///< reads of all jobs begun; also identifies the latest one
    std::vector<std::pair<Waiting, Jobs::Call>> waitingForOwner_; ///< relayed calls that arrived while the jobs were being read

    std::unordered_map<HttpIo::RequestId, OpenRequest> requests_;
    std::unordered_map<Jobs::CallId, Waiting> waiting_;
    Jobs::CallId lastCall_ = 0;
    std::map<std::string, Net::LinkId> peerLinks_; ///< links that this entry dialed
    std::map<Net::LinkId, std::string> peerNames_;
    std::map<std::string, Net::LinkId> agentLinks_;
    std::map<Net::LinkId, std::string> agentNames_;
    std::map<std::string, Base::Endpoint> agentEndpoints_; ///< of agents that have been linked and accept links
    std::map<Net::LinkId, std::string> dialedAgents_; ///< links that are not connected yet
    std::map<Net::LinkId, std::string> entryNames_; ///< of links that other entries dialed
    std::vector<Base::Endpoint> entries_;

    Rules::Replica rules_;
    EntryNode::RulesFeedState rulesFeed_;
    EntryNode::RulesExchangeState rulesExchange_;
    AwaitingRequests awaitingRules_;
    DueTimer timer_;
    TurnTimer ownerTurns_;
    Base::Duration longestOwnerTurn_{}; ///< since the metrics were last read
    Base::MonoTime busyReportedAt_{};
    bool steppingDown_ = false;
    Base::MonoTime stepDownBy_{};
    Base::MonoTime stopNotBefore_{};
};

} // namespace LaburnumFlow::Node
