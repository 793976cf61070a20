#include "entryprocess.h"

#include "nodeconstants.h"

#include "base/timerservice.h"

#include <algorithm>

namespace LaburnumFlow::Node {

void EntryProcess::callStore(std::string_view name, HttpIo::ClientRequest request, std::function<void(const HttpIo::ClientResponse &)> handle)
{
    const Base::Duration adaptive = storeTimeout_.current();
    request.timeout = request.timeout == Base::Duration{} ? adaptive : std::min(request.timeout, adaptive);
    const Base::MonoTime startedAt = Base::monoNow();
    const Base::Duration allowed = request.timeout;
    storeCalls_.send(std::move(request), [this, name, startedAt, allowed, handle = std::move(handle)](const HttpIo::ClientResponse &response) {
        const Base::Duration waited = Base::monoNow() - startedAt;
        recordCall(name, response, waited);
        if (response.outcome == HttpIo::ClientResponse::Outcome::Answered) {
            storeTimeout_.handleResponse(waited);
        } else {
            storeTimeout_.handleNoResponse(waited, allowed);
        }
        watchStore(name, response);
        handle(response);
    });
}

void EntryProcess::readFromStore(HttpIo::HttpClient &client,
                                 std::string_view name,
                                 HttpIo::ClientRequest request,
                                 Base::Duration stallTimeout,
                                 std::function<void(const HttpIo::ClientResponse &)> handle)
{
    request.stallTimeout = stallTimeout;
    const Base::MonoTime startedAt = Base::monoNow();
    client.send(std::move(request), [this, name, startedAt, handle = std::move(handle)](const HttpIo::ClientResponse &response) {
        recordCall(name, response, Base::monoNow() - startedAt);
        watchStore(name, response);
        handle(response);
    });
}

void EntryProcess::watchStore(std::string_view name, const HttpIo::ClientResponse &response)
{
    const bool responded = response.outcome == HttpIo::ClientResponse::Outcome::Answered && response.status < 500;
    if (!responded) {
        if (storeWatch_.failed(Base::monoNow())) {
            logDecision("store.lost", {{"call", std::string(name)}, {"status", std::to_string(response.status)}});
        }
        return;
    }
    if (const auto lostFor = storeWatch_.answered(Base::monoNow())) {
        logDecision("store.regained", {{"ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*lostFor).count())}});
    }
}

void EntryProcess::feedOwnership(const EntryNode::OwnershipEvent &event)
{
    EntryNode::OwnershipEffects effects = EntryNode::reduce(ownership_, EntryNode::TimePassed{Base::monoNow()});
    for (EntryNode::OwnershipEffect &effect : effects) {
        std::visit([this](auto &what) { carryOut(what); }, effect);
    }
    effects = EntryNode::reduce(ownership_, event);
    for (EntryNode::OwnershipEffect &effect : effects) {
        std::visit([this](auto &what) { carryOut(what); }, effect);
    }
    timer_.arm();
}

void EntryProcess::carryOut(EntryNode::ReadCluster & /*read*/)
{
    callStore("read-cluster", Platform::rangeRequest(storeAddress_, Jobs::clusterPrefix, {}, false), [this](const HttpIo::ClientResponse &response) {
        const auto page = Platform::parsePageResponse(response);
        feedOwnership(page ? Platform::clusterFromItems(page->items) : EntryNode::ClusterRead{});
    });
}

void EntryProcess::carryOut(EntryNode::GrantLease &grant)
{
    callStore("lease-grant", Platform::grantLeaseRequest(storeAddress_, grant.ttl), [this](const HttpIo::ClientResponse &response) {
        feedOwnership(Platform::grantLeaseResult(response));
    });
}

void EntryProcess::carryOut(EntryNode::RenewLease &renew)
{
    HttpIo::ClientRequest request = Platform::renewLeaseRequest(storeAddress_, renew.lease);
    request.timeout = renew.timeout;
    callStore("lease-keep", std::move(request), [this](const HttpIo::ClientResponse &response) { feedOwnership(Platform::renewLeaseResult(response)); });
}

void EntryProcess::carryOut(EntryNode::WritePresence &write)
{
    const Platform::StoreWrite row{Jobs::entryKey(write.record.name), Jobs::encodeRecord(write.record), write.lease};
    callStore("write-presence", Platform::writeRequest(storeAddress_, {row}), [this](const HttpIo::ClientResponse &response) {
        feedOwnership(Platform::presenceResult(response));
    });
}

void EntryProcess::carryOut(EntryNode::Claim &claim)
{
    callStore("claim", Platform::claimRequest(storeAddress_, claim), [this](const HttpIo::ClientResponse &response) {
        feedOwnership(Platform::claimResult(response));
    });
}

void EntryProcess::carryOut(EntryNode::WriteConfirmers &write)
{
    callStore("write-confirmers", Platform::confirmersRequest(storeAddress_, write), [this](const HttpIo::ClientResponse &response) {
        feedOwnership(Platform::confirmersResult(response));
    });
}

void EntryProcess::carryOut(EntryNode::LoadJobs & /*load*/)
{
    loadedJobs_ = {};
    ++loads_;
    loadPage(std::string(Jobs::jobPrefix), {});
}

void EntryProcess::loadPage(std::string prefix, const std::string &after)
{
    HttpIo::ClientRequest request = Platform::rangeRequest(storeAddress_, prefix, after, false);
    readFromStore(storeCalls_,
                  "load-jobs",
                  std::move(request),
                  jobsPageStallTimeout,
                  [this, prefix = std::move(prefix), load = loads_](const HttpIo::ClientResponse &response) {
                      if (!isLoading(load)) {
                          return;
                      }
                      const auto page = Platform::parsePageResponse(response);
                      if (!page) {
                          loop_.callAfter(jobsReadRetryDelay, [this, load] { retryLoad(load); });
                          return;
                      }
                      for (const Platform::StoreItem &item : page->items) {
                          if (prefix == Jobs::jobPrefix) {
                              if (auto pack = Jobs::decodeJobPack(item.value)) {
                                  loadedJobs_.packs.push_back({item.key, std::move(*pack)});
                              }
                          } else if (auto segment = Jobs::decodeFinishedSegment(item.value)) {
                              loadedJobs_.finished.push_back({item.key, std::move(*segment)});
                          }
                      }
                      if (page->more && !page->items.empty()) {
                          loadPage(prefix, page->items.back().key);
                      } else if (prefix == Jobs::jobPrefix) {
                          loadPage(std::string(Jobs::finishedPrefix), {});
                      } else {
                          feedOwnership(EntryNode::JobsLoaded{true});
                      }
                  });
}

/// Returns whether this is the load in progress. The ownership may have been lost and gained again since an earlier one.
bool EntryProcess::isLoading(std::uint64_t load) const
{
    return load == loads_ && ownership_.mode == EntryNode::OwnershipState::Mode::Loading;
}

void EntryProcess::retryLoad(std::uint64_t load)
{
    if (isLoading(load)) {
        feedOwnership(EntryNode::JobsLoaded{false});
    }
}

} // namespace LaburnumFlow::Node
