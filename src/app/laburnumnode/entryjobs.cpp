#include "entryprocess.h"

#include "nodeconstants.h"

#include "base/timerservice.h"
#include "platform/advicedialect.h"

#include <algorithm>

namespace LaburnumFlow::Node {

namespace {

Jobs::OwnerSettings ownerSettings(const Settings::JobEntrySettings &entry)
{
    return {.remoteFactor = entry.remoteFactor,
            .finalStateRetention = std::chrono::seconds(entry.finalStateSeconds) + finalStateSlack,
            .resubmitDelayMax = std::chrono::milliseconds(entry.resubmitDelayMs) + resubmitSlack};
}

} // namespace

void EntryProcess::carryOut(EntryNode::BeginOwning &begin)
{
    loadedJobs_.owner = begin.record;
    loadedJobs_.ownerRevision = begin.revision;
    owner_ = Jobs::takeOver(std::move(loadedJobs_), Base::monoNow(), Base::wallNow(), ownerSettings(std::get<Settings::JobEntrySettings>(settings_.role)));
    loadedJobs_ = {};
    logDecision("owner.begin",
                {{"epoch", std::to_string(begin.record.epoch)},
                 {"jobs", std::to_string(owner_->jobs.size())},
                 {"former_agents", std::to_string(begin.record.agents.size())}});
    if (rules_.table() != nullptr) {
        feedOwner(ownerRules());
    }
    feedOwner(Jobs::EntriesChanged{entries_});
    for (const auto &[name, link] : agentLinks_) {
        feedOwner(Jobs::AgentLinked{name});
    }
    auto waiting = std::exchange(waitingForOwner_, {});
    for (auto &[caller, call] : waiting) {
        forwardToOwner(caller, std::move(call));
    }
}

void EntryProcess::carryOut(EntryNode::OwnershipLost &lost)
{
    sendSuccessorToAgents(lost.successor);
    stepDown("epoch " + std::to_string(lost.epoch));
}

void EntryProcess::carryOut(EntryNode::AuthorityRenewed &renewed)
{
    feedOwner(Jobs::AuthorityRenewed{renewed.until, renewed.confirmedByStore, renewed.storeConfirmedAt});
}

void EntryProcess::carryOut(EntryNode::FormerOwnersFenced & /*fenced*/)
{
    feedOwner(Jobs::FormerOwnersFenced{});
}

void EntryProcess::carryOut(EntryNode::DialPeer &dial)
{
    const Net::LinkId link = links_.dial(dial.endpoint);
    peerLinks_[dial.name] = link;
    peerNames_[link] = dial.name;
}

void EntryProcess::carryOut(EntryNode::DisconnectPeer &disconnect)
{
    const auto found = peerLinks_.find(disconnect.name);
    if (found == peerLinks_.end()) {
        return;
    }
    links_.close(found->second);
    peerNames_.erase(found->second);
    peerLinks_.erase(found);
    updateRoute();
}

void EntryProcess::carryOut(EntryNode::SendHeartbeat &heartbeat)
{
    const auto link = peerLinks_.find(heartbeat.name);
    if (link != peerLinks_.end()) {
        links_.send(link->second, Jobs::encodeMessage(heartbeat.heartbeat));
    }
}

void EntryProcess::carryOut(EntryNode::SendHeartbeatReply &reply)
{
    if (const auto link = linkFrom(reply.name)) {
        links_.send(*link, Jobs::encodeMessage(reply.reply));
    }
}

void EntryProcess::carryOut(EntryNode::EntryEndpointsChanged &changed)
{
    entries_ = changed.entries;
    if (owner_) {
        feedOwner(Jobs::EntriesChanged{entries_});
    }
}

void EntryProcess::carryOut(EntryNode::OwnerChanged &changed)
{
    ownerName_ = changed.name;
    logDecision("owner.known", {{"owner", changed.name}});
    updateRoute();
}

void EntryProcess::carryOut(EntryNode::OwnershipDecision &decision)
{
    logDecision(decision.event, decision.fields);
}

void EntryProcess::feedOwner(const Jobs::OwnerEvent &event)
{
    if (!owner_) {
        return;
    }
    if (!std::holds_alternative<Jobs::TimePassed>(event) && Base::monoNow() - owner_->now >= ownerTurnInterval) {
        carryOut(Jobs::handleEvent(*owner_, Jobs::TimePassed{Base::monoNow(), Base::wallNow()}));
    }
    if (owner_) {
        carryOut(Jobs::handleEvent(*owner_, event));
        ownerTurns_.request();
    }
}

void EntryProcess::endOwnerTurn()
{
    if (!owner_) {
        return;
    }
    // The process may have been suspended since the last event, and its authority may have ended meanwhile.
    carryOut(Jobs::handleEvent(*owner_, Jobs::TimePassed{Base::monoNow(), Base::wallNow()}));
    if (owner_) {
        carryOut(Jobs::endTurn(*owner_));
    }
    measureOwnerTurn();
    timer_.arm();
}

void EntryProcess::measureOwnerTurn()
{
    const Base::MonoTime now = Base::monoNow();
    // The events were ready when the loop's current batch of callbacks began, or before.
    const Base::Duration turn = now - loop_.now();
    longestOwnerTurn_ = std::max(longestOwnerTurn_, turn);
    if (turn < busyOwnerTurn || now - busyReportedAt_ < busyOwnerReportInterval) {
        return;
    }
    busyReportedAt_ = now;
    logDecision("owner.busy", {{"turn_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(turn).count())}});
}

void EntryProcess::carryOut(Jobs::OwnerEffects effects)
{
    for (Jobs::OwnerEffect &effect : effects) {
        // An earlier effect may have ended the ownership.
        if (!owner_ && !std::holds_alternative<Jobs::Decision>(effect) && !std::holds_alternative<Jobs::Reply>(effect)) {
            continue;
        }
        std::visit([this](auto &what) { carryOut(what); }, effect);
    }
}

void EntryProcess::carryOut(Jobs::Reply &reply)
{
    const auto found = waiting_.find(reply.id);
    if (found == waiting_.end()) {
        return;
    }
    const Waiting waiting = found->second;
    waiting_.erase(found);
    if (const auto *local = std::get_if<LocalCaller>(&waiting)) {
        carryOut(router_.handleAnswer(local->forwardId, reply.answer));
        return;
    }
    const auto &relaying = std::get<RelayingEntry>(waiting);
    links_.send(relaying.link, Jobs::encodeMessage(Jobs::RelayedAnswer{.number = relaying.number, .answer = reply.answer}));
}

void EntryProcess::carryOut(Jobs::SendOrders &orders)
{
    const auto link = agentLinks_.find(orders.agent);
    if (link != agentLinks_.end()) {
        links_.send(link->second, Jobs::encodeMessage(std::move(orders.orders)));
    }
}

void EntryProcess::carryOut(Jobs::AskAdvice &ask)
{
    const Base::MonoTime startedAt = Base::monoNow();
    adviceCalls_.send(Platform::adviceRequest(adviceAddress_, ask), [this, ask, epoch = owner_->epoch, startedAt](const HttpIo::ClientResponse &response) {
        recordCall("advise", response, Base::monoNow() - startedAt);
        if (owner_ && owner_->epoch == epoch) {
            feedOwner(Platform::adviceAnswer(ask, response));
        }
    });
}

void EntryProcess::carryOut(Jobs::StartCommit &commit)
{
    const std::uint64_t epoch = owner_->epoch;
    metrics_.countCommittedEntries(commit.commit.writes.size() + commit.commit.deletes.size());
    const Base::MonoTime sentAt = Base::monoNow();
    callStore("commit", Platform::commitRequest(storeAddress_, commit.commit), [this, epoch, sentAt](const HttpIo::ClientResponse &response) {
        if (!owner_ || owner_->epoch != epoch) {
            return;
        }
        const bool committed = response.outcome == HttpIo::ClientResponse::Outcome::Answered && response.status < 400;
        if (committed) {
            feedOwnership(EntryNode::OwnerCommitted{sentAt});
        }
        feedOwner(Jobs::CommitEnded{Platform::commitResult(response)});
    });
}

void EntryProcess::carryOut(Jobs::StepDown &stepDownEffect)
{
    stepDown("epoch " + std::to_string(stepDownEffect.seenEpoch));
}

void EntryProcess::carryOut(Jobs::Decision &decision)
{
    logDecision(decision.event, decision.fields);
}

/// Only the owner dials, but every entry keeps the timer running until then, as it may become the owner. Afterwards the agent's endpoint is
/// dropped.
void EntryProcess::dialAgent(const std::string &name, Base::MonoTime until)
{
    const auto endpoint = agentEndpoints_.find(name);
    if (agentLinks_.contains(name) || endpoint == agentEndpoints_.end()) {
        return;
    }
    if (loop_.now() > until) {
        agentEndpoints_.erase(endpoint);
        return;
    }
    const bool dialing = std::any_of(dialedAgents_.begin(), dialedAgents_.end(), [&name](const auto &dialed) { return dialed.second == name; });
    if (owner_ && !stopping_ && !dialing) {
        dialedAgents_[links_.dial(endpoint->second)] = name;
    }
    loop_.callAfter(agentDialInterval, [this, name, until] { dialAgent(name, until); });
}

void EntryProcess::forwardToOwner(Waiting waiting, Jobs::Call call)
{
    if (!owner_) {
        // The ownership was lost while calls waited for the jobs to be read.
        if (const auto *relaying = std::get_if<RelayingEntry>(&waiting)) {
            links_.send(relaying->link, Jobs::encodeMessage(Jobs::RelayedAnswer{.number = relaying->number, .notOwner = true}));
        }
        return;
    }
    const Jobs::CallId id = ++lastCall_;
    waiting_.emplace(id, waiting);
    feedOwner(Jobs::CallArrived{id, std::move(call)});
}

void EntryProcess::sendSuccessorToAgents(const Base::Endpoint &successor)
{
    if (!owner_ || successor.port == 0) {
        return;
    }
    Jobs::OwnerOrders orders;
    orders.epoch = owner_->epoch;
    orders.entries = entries_;
    orders.entries.push_back(successor);
    orders.confirmedByStore = false;
    const std::vector<std::uint8_t> frame = Jobs::encodeMessage(std::move(orders));
    for (const auto &[name, link] : agentLinks_) {
        links_.send(link, frame);
    }
}

void EntryProcess::stepDown(const std::string &reason)
{
    if (!owner_ && ownership_.mode != EntryNode::OwnershipState::Mode::Loading) {
        return;
    }
    logDecision("owner.end", {{"reason", reason}});
    owner_.reset();
    steppingDown_ = false;
    ownerName_.clear();
    // Local calls wait in the router; other entries forward theirs to the next owner.
    for (const auto &[id, waiting] : waiting_) {
        if (const auto *relaying = std::get_if<RelayingEntry>(&waiting)) {
            links_.send(relaying->link, Jobs::encodeMessage(Jobs::RelayedAnswer{.number = relaying->number, .notOwner = true, .handled = true}));
        }
    }
    waiting_.clear();
    for (const auto &[caller, call] : std::exchange(waitingForOwner_, {})) {
        const auto &relaying = std::get<RelayingEntry>(caller);
        links_.send(relaying.link, Jobs::encodeMessage(Jobs::RelayedAnswer{.number = relaying.number, .notOwner = true}));
    }
    feedOwnership(EntryNode::SteppedDown{});
    updateRoute();
}

void EntryProcess::linkConnected(Net::LinkId link)
{
    const Jobs::EntryHello hello{settings_.name, settings_.peers};
    if (dialedAgents_.erase(link) > 0) {
        links_.send(link, Jobs::encodeMessage(hello));
        return;
    }
    const auto found = peerNames_.find(link);
    if (found == peerNames_.end()) {
        return;
    }
    links_.send(link, Jobs::encodeMessage(hello));
    feedOwnership(EntryNode::PeerLinked{found->second});
    updateRoute();
}

void EntryProcess::linkAccepted(Net::LinkId /*link*/) { }

void EntryProcess::linkFrame(Net::LinkId link, std::span<const std::uint8_t> frame)
{
    auto message = Jobs::decodeMessage(frame);
    if (!message) {
        logDecision("link.unreadable", {{"bytes", std::to_string(frame.size())}});
        links_.close(link);
        linkClosed(link, Net::LinkEnd::Lost);
        return;
    }
    std::visit([this, link](auto &what) { handle(link, what); }, *message);
}

void EntryProcess::linkClosed(Net::LinkId link, Net::LinkEnd reason)
{
    if (const auto agent = agentNames_.find(link); agent != agentNames_.end()) {
        const std::string name = agent->second;
        agentNames_.erase(agent);
        // A newer link of the same agent stays.
        if (agentLinks_[name] == link) {
            agentLinks_.erase(name);
            feedOwner(Jobs::AgentUnlinked{name});
            loop_.callAfter(agentDialDelay, [this, name, until = loop_.now() + agentDialTimeout] { dialAgent(name, until); });
        }
    }
    dialedAgents_.erase(link);
    if (const auto entry = entryNames_.find(link); entry != entryNames_.end()) {
        const std::string name = entry->second;
        entryNames_.erase(entry);
        if (!linkFrom(name)) {
            feedRulesExchange(EntryNode::RulesSourceLost{name});
            connectRulesFeedAndExchange();
        }
    }
    const auto peer = peerNames_.find(link);
    if (peer == peerNames_.end()) {
        return;
    }
    const std::string name = peer->second;
    peerNames_.erase(peer);
    peerLinks_.erase(name);
    feedOwnership(EntryNode::PeerUnlinked{name, reason == Net::LinkEnd::Refused});
    updateRoute();
}

std::optional<Net::LinkId> EntryProcess::linkFrom(const std::string &entry) const
{
    const auto link = std::find_if(entryNames_.rbegin(), entryNames_.rend(), [&entry](const auto &named) { return named.second == entry; });
    return link == entryNames_.rend() ? std::nullopt : std::optional(link->first);
}

void EntryProcess::handle(Net::LinkId link, Jobs::AgentHello &hello)
{
    const auto former = agentLinks_.find(hello.name);
    if (former != agentLinks_.end() && former->second != link) {
        agentNames_.erase(former->second);
        links_.close(former->second);
        feedOwner(Jobs::AgentUnlinked{hello.name});
    }
    if (hello.peers.port != 0) {
        agentEndpoints_[hello.name] = hello.peers;
    }
    agentLinks_[hello.name] = link;
    agentNames_[link] = hello.name;
    feedOwner(Jobs::AgentLinked{hello.name});
}

void EntryProcess::handle(Net::LinkId link, Jobs::AgentReport &report)
{
    const auto agent = agentNames_.find(link);
    if (agent != agentNames_.end()) {
        feedOwner(Jobs::AgentReported{agent->second, std::move(report)});
    }
}

void EntryProcess::handle(Net::LinkId link, Jobs::EntryHello &hello)
{
    entryNames_[link] = hello.name;
}

void EntryProcess::handle(Net::LinkId link, Jobs::EntryBeat &heartbeat)
{
    const auto entry = entryNames_.find(link);
    if (entry != entryNames_.end()) {
        feedOwnership(EntryNode::PeerHeartbeat{entry->second, heartbeat});
    }
}

void EntryProcess::handle(Net::LinkId link, Jobs::EntryBeatReply &reply)
{
    const auto peer = peerNames_.find(link);
    if (peer != peerNames_.end()) {
        feedOwnership(EntryNode::PeerHeartbeatReply{peer->second, reply});
    }
}

void EntryProcess::handle(Net::LinkId link, Jobs::RelayedCall &call)
{
    const RelayingEntry relaying{link, call.number};
    if (owner_ && !steppingDown_) {
        forwardToOwner(relaying, std::move(call.call));
        return;
    }
    if (ownership_.mode == EntryNode::OwnershipState::Mode::Loading) {
        waitingForOwner_.emplace_back(relaying, std::move(call.call));
        return;
    }
    links_.send(link, Jobs::encodeMessage(Jobs::RelayedAnswer{.number = call.number, .notOwner = true}));
}

void EntryProcess::handle(Net::LinkId /*link*/, Jobs::RelayedAnswer &answer)
{
    if (!answer.notOwner) {
        carryOut(router_.handleAnswer(answer.number, answer.answer));
        return;
    }
    router_.handleReturned(answer.number, answer.handled);
    loop_.callAfter(returnedCallRetryDelay, [this, number = answer.number] { retryCall(number); });
}

void EntryProcess::handle(Net::LinkId /*link*/, Jobs::OwnerOrders & /*orders*/) { }

} // namespace LaburnumFlow::Node
