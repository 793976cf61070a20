#include "entryprocess.h"

#include "nodeconstants.h"

#include "base/timerservice.h"
#include "platform/rulesdocument.h"

#include <utility>

namespace LaburnumFlow::Node {

void EntryProcess::feedRules(const EntryNode::RulesFeedEvent &event)
{
    EntryNode::RulesFeedEffects effects = EntryNode::reduce(rulesFeed_, EntryNode::TimePassed{Base::monoNow()});
    for (EntryNode::RulesFeedEffect &effect : effects) {
        std::visit([this](auto &what) { carryOut(what); }, effect);
    }
    effects = EntryNode::reduce(rulesFeed_, event);
    for (EntryNode::RulesFeedEffect &effect : effects) {
        std::visit([this](auto &what) { carryOut(what); }, effect);
    }
    timer_.arm();
}

void EntryProcess::feedRulesExchange(const EntryNode::RulesExchangeEvent &event)
{
    EntryNode::RulesExchangeEffects effects = EntryNode::reduce(rulesExchange_, EntryNode::TimePassed{Base::monoNow()});
    for (EntryNode::RulesExchangeEffect &effect : effects) {
        std::visit([this](auto &what) { carryOut(what); }, effect);
    }
    effects = EntryNode::reduce(rulesExchange_, event);
    for (EntryNode::RulesExchangeEffect &effect : effects) {
        std::visit([this](auto &what) { carryOut(what); }, effect);
    }
    timer_.arm();
}

/// Tells the exchange what the feed knows, and the feed whether it is needed.
void EntryProcess::connectRulesFeedAndExchange()
{
    const bool reader = EntryNode::isRulesReader(ownership_);
    feedRulesExchange(EntryNode::RulesReader{reader, rulesFeed_.storeAnswers});
    Jobs::RulesAnnouncement own = rulesExchange_.own;
    own.watchAfter = rulesFeed_.watchAfter;
    feedRulesExchange(EntryNode::OwnRules{own});
    const EntryNode::RulesRole role{EntryNode::followsPeers(rulesExchange_), reader};
    if (role.followsPeers != rulesFeed_.followsPeers || role.readsForOthers != rulesFeed_.readsForOthers) {
        feedRules(role);
    }
}

void EntryProcess::carryOut(EntryNode::ReadRules & /*read*/)
{
    readFromStore(rulesCalls_, "read-rules", Platform::readRulesRequest(storeAddress_), maxStoreTimeout, [this](const HttpIo::ClientResponse &response) {
        feedRules(Platform::rulesReadResult(response));
        connectRulesFeedAndExchange();
    });
}

void EntryProcess::carryOut(EntryNode::WatchRules &watch)
{
    const Base::Duration stallTimeout = watch.wait + storeTimeout_.current();
    HttpIo::ClientRequest request = Platform::watchRulesRequest(storeAddress_, watch);
    readFromStore(rulesCalls_, "watch-rules", std::move(request), stallTimeout, [this](const HttpIo::ClientResponse &response) {
        feedRules(Platform::rulesWatchedResult(response));
        connectRulesFeedAndExchange();
    });
}

void EntryProcess::carryOut(EntryNode::AdoptRules &adopt)
{
    auto document = Platform::parseRules(adopt.document.text);
    if (!document) {
        logDecision("rules.unreadable", {{"revision", std::to_string(adopt.document.revision)}});
        return;
    }
    if (document->skippedRows > 0) {
        logDecision("rules.skipped", {{"version", std::to_string(document->table.id.version)}, {"rows", std::to_string(document->skippedRows)}});
    }
    if (rules_.adopt(std::move(document->table))) {
        rulesAdopted(adopt.document.revision, "store");
    }
}

void EntryProcess::carryOut(EntryNode::AnnounceRules &announce)
{
    const std::vector<std::uint8_t> frame = Jobs::encodeMessage(announce.announcement);
    for (const auto &[name, peer] : ownership_.peers) {
        if (const auto link = peerLinks_.find(name); peer.linked && link != peerLinks_.end()) {
            links_.send(link->second, frame);
        }
    }
}

void EntryProcess::carryOut(EntryNode::RequestRulesUpdate &request)
{
    if (const auto link = linkFrom(request.name)) {
        links_.send(*link, Jobs::encodeMessage(request.request));
    }
}

void EntryProcess::carryOut(EntryNode::RulesConfirmed &confirmed)
{
    feedRules(EntryNode::RulesLearned{confirmed.announcement.revision, confirmed.announcement.watchAfter});
}

void EntryProcess::carryOut(EntryNode::RulesBehind &behind)
{
    logDecision("rules.behind",
                {{"version", std::to_string(behind.version)},
                 {"newest", std::to_string(behind.newestVersion)},
                 {"source", behind.source},
                 {"ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(behind.age).count())}});
}

void EntryProcess::handle(Net::LinkId link, Jobs::RulesAnnouncement &announcement)
{
    const auto entry = entryNames_.find(link);
    if (entry != entryNames_.end()) {
        feedRulesExchange(EntryNode::RulesAnnounced{entry->second, announcement});
        connectRulesFeedAndExchange();
    }
}

void EntryProcess::handle(Net::LinkId link, Jobs::RulesRequest &request)
{
    Jobs::RulesAnnouncement result = rulesExchange_.own;
    result.watchAfter = rulesFeed_.watchAfter;
    links_.send(link, Jobs::encodeMessage(Jobs::RulesUpdate{result, rules_.updateSince({request.version, request.digest})}));
}

void EntryProcess::handle(Net::LinkId link, Jobs::RulesUpdate &update)
{
    const auto entry = entryNames_.find(link);
    if (entry == entryNames_.end()) {
        return;
    }
    const std::string source = entry->second;
    const auto result = rules_.apply(update.changes);
    if (result == Rules::Replica::UpdateResult::Applied) {
        feedRules(EntryNode::RulesLearned{update.result.revision, update.result.watchAfter});
        rulesAdopted(update.result.revision, source);
    }
    feedRulesExchange(EntryNode::RulesUpdateArrived{source, result != Rules::Replica::UpdateResult::Mismatch});
    connectRulesFeedAndExchange();
}

/// Puts the rules that rules_ has adopted into force. source is the entry that has passed them on, or the store.
void EntryProcess::rulesAdopted(std::int64_t revision, const std::string &source)
{
    const Rules::TableId id = rules_.id();
    logDecision("rules.adopted", {{"version", std::to_string(id.version)}, {"routes", std::to_string(rules_.table()->routes.size())}, {"source", source}});
    feedRulesExchange(EntryNode::OwnRules{{id.version, id.digest, revision, rulesFeed_.watchAfter, false}});
    if (owner_) {
        feedOwner(ownerRules());
    }
    for (const HttpIo::ServerRequest &request : awaitingRules_.takeAll()) {
        handleRequest(request);
    }
}

Jobs::RulesChanged EntryProcess::ownerRules() const
{
    Jobs::RulesChanged changed{rules_.id().version, {}};
    for (const Rules::QueueRoute &route : rules_.table()->routes) {
        changed.queues.push_back(route.rules);
    }
    return changed;
}

/// Returns whether newer rules, which are on their way, may have a route for the request.
bool EntryProcess::mayGetRoute(const HttpIo::ServerRequest &request) const
{
    return rulesExchange_.behindSince && rules_.table() != nullptr && rules_.table()->find(request.host, request.path) == nullptr;
}

void EntryProcess::answerExpiredRequests()
{
    for (const HttpIo::RequestId id : awaitingRules_.takeExpired(Base::monoNow())) {
        answerCaller(id, {503, {}, retryAfterNewerRulesS});
    }
}

} // namespace LaburnumFlow::Node
