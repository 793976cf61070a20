#pragma once

#include "standinserver.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace PlatformSite {

/// The platform's store: keys with revisions, conditional transactions and leases that lapse.
class PlatformStandIn
{
public:
    PlatformStandIn();

    std::string endpoint() const
    {
        return server_.endpoint();
    }

    /// Carries out a call of the platform's store.
    StandInReply answer(const StandInRequest &request);

    /// Writes a key as the operator does. POST /control with {"turnsAway":true,"losesEach":3} sets the first two faults below.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// Returns the keys that begin with prefix, with their values.
    std::map<std::string, std::string> read(const std::string &prefix);

    /// While set, each call is answered 503 without effect.
    std::atomic<bool> turnsAway = false;

    /// If not 0, each so many-th transaction is carried out and its answer lost.
    std::atomic<unsigned> losesEach = 0;

    /// If not 0, each so many-th transaction is carried out and its connection reset.
    std::atomic<unsigned> resetsEach = 0;

    /// While set, a transaction that comes again after the reset of its connection is answered 503 without effect the first time.
    std::atomic<bool> turnsAwaySecondSendings = false;

    /// How long the answer to the next transaction is kept back; 0 once it was.
    std::atomic<unsigned> delaysNextMs = 0;

    /// Returns how many connections were reset, and how many transactions were turned away as second sendings.
    unsigned resets() const
    {
        return resets_;
    }

    unsigned secondSendingsTurnedAway() const
    {
        return turnedAway_;
    }

    /// Returns how many responses have carried the value of this key.
    unsigned transfers(const std::string &key);

    /// While set, watches return no events, as if nothing had changed.
    std::atomic<bool> watchesHearNothing = false;
    /// Drops the history, so that watches from before end with 410.
    void dropHistory();

    /// From now on, answers to range reads with this prefix are kept back until they are released. An empty prefix keeps back none.
    void holdReads(const std::string &prefix);
    /// Releases the first so many answers that were kept back.
    void releaseReads(unsigned count);
    /// Returns how many answers have been kept back since holdReads().
    unsigned heldReads();

private:
    using Clock = std::chrono::steady_clock;

    struct Item {
        std::string value; ///< base64
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    /// A change of a key.
    struct Event {
        std::int64_t revision = 0;
        std::string key;
        nlohmann::json row; ///< as watches return it
    };

    struct Lease {
        std::chrono::milliseconds term{};
        Clock::time_point end;
    };

    StandInReply control(const std::string &body);
    StandInReply item(const std::string &key);
    StandInReply watch(const StandInRequest &request, std::unique_lock<std::mutex> &lock);
    nlohmann::json eventsAfter(const std::string &prefix, std::int64_t after);
    /// Makes the change of the key to the current revision known to watches.
    void recordEvent(const std::string &key);
    StandInReply range(const std::string &prefix, const std::string &after) const;
    StandInReply transaction(const std::string &body);
    StandInReply faultyTransaction(const std::string &body, std::unique_lock<std::mutex> &lock);
    void waitForRelease(const std::string &prefix, std::unique_lock<std::mutex> &lock);
    StandInReply grant(const std::string &body);
    StandInReply keep(std::int64_t lease);
    StandInReply end(std::int64_t lease);
    nlohmann::json row(const std::string &key) const;
    void removeLapsed();
    void removeLease(std::int64_t lease);

    std::mutex mutex_;
    std::map<std::string, Item> items_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t revision_ = 1;
    std::vector<Event> history_;
    std::int64_t historyStart_ = 0; ///< revision up to which changes are forgotten
    std::condition_variable changed_;
    std::map<std::string, unsigned> transfers_; ///< responses with the value of each key
    unsigned transactions_ = 0;
    std::set<std::string> resetBodies_; ///< of transactions that haven't come again
    std::atomic<unsigned> resets_ = 0;
    std::atomic<unsigned> turnedAway_ = 0;
    std::condition_variable released_;
    std::string heldPrefix_;
    unsigned held_ = 0;
    unsigned releasedUpTo_ = 0;
    std::int64_t lastLease_ = 0;
    StandInServer server_;
};

/// A further address of the store, which can reject the calls of those that use it while the store serves all others.
class StoreAddress
{
public:
    /// The store must outlive its address.
    explicit StoreAddress(PlatformStandIn &store);

    std::string endpoint() const
    {
        return server_.endpoint();
    }

    /// While set, each call to this address is answered 503 without effect.
    std::atomic<bool> turnsAway = false;

private:
    StandInServer server_;
};

} // namespace PlatformSite
