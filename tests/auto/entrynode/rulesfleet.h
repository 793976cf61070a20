#pragma once

#include "entrynode/rulesexchange.h"
#include "entrynode/rulesfeed.h"
#include "rules/replica.h"

#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace LaburnumFlow::EntryNode::Testing {

/// One direction of a machine's network link. Transfers in progress share its bandwidth equally.
class ModelLink
{
public:
    explicit ModelLink(std::size_t bytesPerSecond) : bytesPerSecond_(bytesPerSecond) { }

    /// Begins a transfer. Returns its number, for cancel().
    std::uint64_t transfer(std::size_t bytes, std::function<void()> done);
    void cancel(std::uint64_t transfer);
    void advance(Base::Duration time);

    /// All bytes that have been transferred.
    std::size_t bytes() const
    {
        return static_cast<std::size_t>(bytes_);
    }

private:
    struct Transfer {
        double bytesLeft = 0;
        std::function<void()> done;
    };

    std::size_t bytesPerSecond_ = 0;
    double bytes_ = 0;
    std::uint64_t lastTransfer_ = 0;
    std::map<std::uint64_t, Transfer> transfers_;
};

/// A version of the rules document in the model store.
struct ModelVersion {
    std::int64_t revision = 0;
    Rules::RouteTable table;
    Base::MonoTime acknowledgedAt{};
};

/// Entries with links of different bandwidth that keep their rules up to date, and the store that holds the rules document.
class RulesFleet
{
public:
    /// bandwidths are those of the entries' links, in bytes per second.
    RulesFleet(const std::vector<std::size_t> &bandwidths, std::size_t routes, unsigned seed);

    /// Changes one route and adds the given number of others.
    void change(std::size_t addedRoutes = 0);
    /// Lets the call to the store that the entry has in progress get no answer, nor any more bytes of one.
    void silenceStoreCall(std::size_t entry);
    /// Makes the store forget its history and cut all watches.
    void dropHistory();
    /// Separates the entry from all others, or ends the separation. The store stays within its reach.
    void setCutOff(std::size_t entry, bool cutOff);
    /// Replaces the process of the entry, which loses its rules.
    void restart(std::size_t entry);
    void run(Base::Duration time);

    std::size_t size() const
    {
        return entries_.size();
    }

    /// Longest time for which an entry with rules has had older ones than the store since the latest call of resetDelays().
    Base::Duration longestDelay() const
    {
        return longestDelay_;
    }

    void resetDelays()
    {
        longestDelay_ = {};
    }

    /// Time for which the entry has had older rules than the store.
    Base::Duration delay(std::size_t entry) const;

    /// Bytes that the entry has received.
    std::size_t receivedBytes(std::size_t entry) const
    {
        return entries_[entry].downlink.bytes();
    }

    bool isCurrent(std::size_t entry) const
    {
        return entries_[entry].version + 1 == versions_.size();
    }

    std::mt19937 random;

private:
    struct StoreCall {
        std::optional<std::int64_t> watchAfter; ///< no value for a read
        Base::MonoTime answerBy{}; ///< when a watch ends without a change
        std::optional<Base::MonoTime> failsAt; ///< of a call that gets no answer
        std::optional<std::uint64_t> transfer; ///< of the document
    };

    struct Entry {
        explicit Entry(std::size_t bandwidth) : downlink(bandwidth), uplink(bandwidth) { }

        std::string name;
        ModelLink downlink;
        ModelLink uplink;
        OwnershipState ownership; ///< only the records of all entries and the owner
        RulesFeedState feed;
        RulesExchangeState exchange;
        Rules::Replica rules;
        std::optional<StoreCall> call;
        std::size_t version = 0; ///< index of the version in force
        std::uint64_t process = 0; ///< rises with each restart
        bool cutOff = false;
    };

    void step();
    void stepCall(Entry &entry);
    void sendDocument(Entry &entry);
    void endCall(Entry &entry, const RulesFeedEvent &event);
    void stepExchange(Entry &entry);
    void feed(Entry &entry, const RulesFeedEvent &event);
    void exchange(Entry &entry, const RulesExchangeEvent &event);
    void adopted(Entry &entry, std::int64_t revision);
    void send(Entry &from, Entry &to, std::size_t bytes, std::function<void()> arrived);
    Entry &entryOf(const std::string &name);
    void carryOut(Entry &entry, const ReadRules &read);
    void carryOut(Entry &entry, const WatchRules &watch);
    void carryOut(Entry &entry, const AdoptRules &adopt);
    void carryOut(Entry &entry, const AnnounceRules &announce);
    void carryOut(Entry &entry, const RequestRulesUpdate &request);
    void carryOut(Entry &entry, const RulesConfirmed &confirmed);
    void carryOut(Entry &entry, const RulesBehind &behind);
    void answer(Entry &source, Entry &asking, const Jobs::RulesRequest &request);
    void recordDelays();

    Base::MonoTime now_{std::chrono::seconds(1)};
    std::size_t lastRoute_ = 0;
    std::vector<ModelVersion> versions_;
    std::int64_t historyStart_ = 0;
    std::vector<Entry> entries_;
    Base::Duration longestDelay_{};
};

} // namespace LaburnumFlow::EntryNode::Testing
