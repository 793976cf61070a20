#pragma once

#include "entrynode/ownership.h"

#include <optional>
#include <string>
#include <vector>

namespace LaburnumFlow::EntryNode::Testing {

using namespace std::chrono_literals;

inline Jobs::EntryRecord makeEntry(const std::string &name, std::uint64_t incarnation = 1, std::uint32_t processorPercent = 25)
{
    return {name, incarnation, {"10.0.0.1", 7000}, processorPercent};
}

inline Jobs::OwnerRecord makeOwner(const std::string &name, std::uint64_t epoch, std::uint64_t incarnation = 1)
{
    return {epoch, 0, name, incarnation, {}};
}

/// Feeds the ownership reducer of entry-1 with events and collects its effects.
class EntryHarness
{
public:
    EntryHarness() : state(makeOwnership(makeEntry("entry-1"), 1s, now_)) { }

    void advance(Base::Duration time)
    {
        now_ += time;
        collect(reduce(state, TimePassed{now_}));
    }

    void feed(const OwnershipEvent &event)
    {
        advance(1ms);
        collect(reduce(state, event));
    }

    void read(std::optional<Jobs::OwnerRecord> owner, std::int64_t revision, std::vector<Jobs::EntryRecord> entries)
    {
        feed(ClusterRead{ClusterRead::Content{std::move(owner), revision, std::move(entries)}});
    }

    template<class Effect>
    std::vector<Effect> effects() const
    {
        std::vector<Effect> found;
        for (const OwnershipEffect &effect : effects_) {
            if (const auto *matching = std::get_if<Effect>(&effect)) {
                found.push_back(*matching);
            }
        }
        return found;
    }

    /// Lets entry-1 follow entry-2, which is present and linked. With withThird, entry-3 is present and linked too.
    void followPeer(bool withThird = false)
    {
        std::vector<Jobs::EntryRecord> entries{makeEntry("entry-1"), makeEntry("entry-2")};
        if (withThird) {
            entries.push_back(makeEntry("entry-3"));
        }
        read(makeOwner("entry-2", 3), 10, entries);
        feed(PeerLinked{"entry-2"});
        if (withThird) {
            feed(PeerLinked{"entry-3"});
        }
        heartbeat();
    }

    void heartbeat(bool storeReachable = true)
    {
        feed(PeerHeartbeat{"entry-2", {3, storeReachable, false}});
    }

    /// Lets entry-1 claim the jobs, which have no owner, and become their owner.
    void becomeOwner()
    {
        read(std::nullopt, 0, {});
        feed(ClaimEnded{ClaimEnded::Outcome::Won, 5});
        feed(JobsLoaded{true});
    }

    /// Lets 100 ms pass, after which a read of the cluster that is in progress fails.
    void passWithoutStore()
    {
        advance(100ms);
        if (state.readInProgress) {
            feed(ClusterRead{});
        }
    }

    /// Returns whether entry-1, which owns the jobs, may send orders now, as it was last told.
    bool hasAuthority() const
    {
        const auto renewals = effects<AuthorityRenewed>();
        return !renewals.empty() && now() < renewals.back().until;
    }

    Base::MonoTime now() const
    {
        return now_;
    }

private:
    void collect(OwnershipEffects effects)
    {
        effects_.insert(effects_.end(), effects.begin(), effects.end());
    }

    Base::MonoTime now_{100s};
    OwnershipEffects effects_;

public:
    OwnershipState state;
};

} // namespace LaburnumFlow::EntryNode::Testing
