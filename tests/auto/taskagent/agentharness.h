#pragma once

#include "taskagent/agentreducer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string_view>
#include <vector>

/// Drives the agent's reducer in place of its process.
namespace LaburnumFlow::TaskAgent::Testing {

using Jobs::RunRef;
using namespace std::chrono_literals;

constexpr std::int64_t firstStartTimeMs = 1'700'000'000'000;
constexpr const char *entry = "1"; ///< link name of the owner

/// Feeds the reducer with the events of a worker and an owner and collects its effects.
class AgentHarness
{
public:
    explicit AgentHarness(Base::MonoTime now = 100s) : now_(now), state(makeAgent(now)) { }

    void advance(Base::Duration time)
    {
        now_ += time;
        collect(reduce(state, TimePassed{now_}));
    }

    void feed(const AgentEvent &event)
    {
        advance(1ms);
        collect(reduce(state, event));
    }

    void heartbeat(std::uint64_t sequence = 1, std::int64_t startTimeMs = firstStartTimeMs, bool draining = false)
    {
        WorkerHeartbeat heartbeat;
        heartbeat.worker = {"worker-1", startTimeMs, "service", "domain", "a", "rack", {}, {8000, 65'536, 0}, draining};
        heartbeat.sequence = sequence;
        feed(heartbeat);
    }

    void orders(std::uint64_t epoch, std::vector<Jobs::StartOrder> ordered = {}, std::vector<RunRef> stopped = {}, const std::string &from = entry)
    {
        Jobs::OwnerOrders orders;
        orders.epoch = epoch;
        orders.number = ++number_;
        orders.echo = std::chrono::duration_cast<std::chrono::milliseconds>(now_).count();
        orders.workerStartTimeMs = firstStartTimeMs;
        orders.starts = std::move(ordered);
        orders.stops = std::move(stopped);
        feed(OrdersArrived{from, std::move(orders)});
    }

    /// Answers the latest hold call.
    void answerHold(std::vector<ListedRun> running = {}, std::vector<Jobs::RunEnd> ends = {}, std::int64_t startTimeMs = firstStartTimeMs)
    {
        answerHoldNumber(holds.back().number, std::move(running), std::move(ends), startTimeMs);
    }

    void answerHoldNumber(std::uint64_t number, std::vector<ListedRun> running, std::vector<Jobs::RunEnd> ends, std::int64_t startTimeMs = firstStartTimeMs)
    {
        HoldAnswered answer;
        answer.answered = true;
        answer.workerStartTimeMs = startTimeMs;
        answer.workerClock = std::chrono::duration_cast<std::chrono::milliseconds>(now_) + 5000ms;
        answer.number = number;
        answer.running = std::move(running);
        answer.ends = std::move(ends);
        feed(answer);
    }

    /// Lets the worker's address refuse the latest hold call.
    void refuseHold()
    {
        HoldAnswered refused;
        refused.refused = true;
        refused.number = holds.back().number;
        refused.calledAt = holds.back().calledAt;
        feed(refused);
    }

    /// Announces the worker and the owner and answers the first hold call.
    void begin(std::uint64_t epoch = 1)
    {
        heartbeat();
        orders(epoch);
        answerHold();
    }

    void answerStart(const RunRef &run)
    {
        feed(StartAnswered{run, firstStartTimeMs, StartAnswered::Outcome::Started, {}, std::chrono::duration_cast<std::chrono::milliseconds>(now_) + 5000ms});
    }

    Jobs::AgentReport lastFull() const
    {
        const auto found = std::find_if(reports.rbegin(), reports.rend(), [](const SendReport &report) { return report.report.full; });
        CPPUNIT_ASSERT(found != reports.rend());
        return found->report;
    }

    template<class Predicate>
    bool reported(Predicate predicate) const
    {
        return std::any_of(reports.begin(), reports.end(), [&](const SendReport &report) { return predicate(report.report); });
    }

    Base::MonoTime now() const
    {
        return now_;
    }

    /// Returns how many decisions with this event have been logged.
    std::size_t countDecisions(std::string_view event) const
    {
        return static_cast<std::size_t>(
            std::count_if(decisions_.begin(), decisions_.end(), [event](const Decision &decision) { return decision.event == event; }));
    }

    std::vector<CallStart> starts;
    std::vector<CallStop> stops;
    std::vector<CallPace> paces;
    std::vector<CallHold> holds;
    std::vector<SendReport> reports;

private:
    void collect(AgentEffects effects)
    {
        for (AgentEffect &effect : effects) {
            if (auto *start = std::get_if<CallStart>(&effect)) {
                starts.push_back(std::move(*start));
            } else if (auto *stop = std::get_if<CallStop>(&effect)) {
                stops.push_back(*stop);
            } else if (auto *pace = std::get_if<CallPace>(&effect)) {
                paces.push_back(*pace);
            } else if (auto *holdCall = std::get_if<CallHold>(&effect)) {
                holds.push_back(*holdCall);
            } else if (auto *report = std::get_if<SendReport>(&effect)) {
                reports.push_back(std::move(*report));
            } else if (auto *decision = std::get_if<Decision>(&effect)) {
                decisions_.push_back(std::move(*decision));
            }
        }
    }

    Base::MonoTime now_;
    std::uint64_t number_ = 0;
    std::vector<Decision> decisions_;

public:
    AgentState state;
};

inline RunRef runOf(Jobs::JobId job, std::uint32_t run = 1)
{
    return {{job, 0, 0}, run};
}

inline Jobs::StartOrder startOf(const RunRef &run)
{
    return {{run}, {1000, 64, 0}, "payload"};
}

} // namespace LaburnumFlow::TaskAgent::Testing
