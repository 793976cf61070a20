#pragma once

#include "standinserver.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

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

    /// Writes a key as the operator does. POST /control with {"turnsAway":true,"losesEach":3} sets the faults below.
    void put(const std::string &key, const std::string &value);

    /// While set, each call is answered 503 without effect.
    std::atomic<bool> turnsAway = false;

    /// If not 0, each so many-th transaction is carried out and its answer lost.
    std::atomic<unsigned> losesEach = 0;

private:
    using Clock = std::chrono::steady_clock;

    struct Item {
        std::string value; ///< base64
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct Lease {
        std::chrono::milliseconds term{};
        Clock::time_point end;
    };

    StandInReply control(const std::string &body);
    StandInReply item(const std::string &key) const;
    StandInReply range(const std::string &prefix, const std::string &after) const;
    StandInReply transaction(const std::string &body);
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
    unsigned transactions_ = 0;
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
