#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Settings of the daemons and of the teams, as parsed and checked values.
namespace LaburnumFlow::Settings {

/// Resources that a task requires of its worker.
struct Resources {
    double cores = 0; ///< 0 means no requirement
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const Resources &) const = default;
};

/// Rules of one kind, after inheritance from the team and the root.
struct KindRules {
    bool idempotent = false; ///< Only tasks of idempotent kinds are retried after a lost attempt
    bool ordered = false; ///< Tasks of one ordering key start one after the other
    bool urgent = false;
    std::uint32_t expectedMs = 200; ///< Declared run time at reference speed
    std::uint32_t limitMs = 60'000; ///< Longest run time; longer runs are stopped
    Resources resources;

    bool operator==(const KindRules &) const = default;
};

/// Limits that protect the service from mistakes of a team.
struct Guards {
    std::uint32_t maxTasksPerJob = 580;
    std::uint32_t maxPayloadBytes = 65'536;
    std::uint32_t maxQueuedTasks = 20'000; ///< Limit at each entry

    bool operator==(const Guards &) const = default;
};

/// Rules of one team, after inheritance from the root.
struct TeamRules {
    std::string team;
    std::uint64_t revision = 0; ///< Revision of the team's subtree
    std::uint64_t rootRevision = 0;
    double quota = 1.0; ///< Largest share of all slots, above 0, at most 1
    double weight = 1.0; ///< Relative share under contention, above 0
    double retryBudget = 0.1; ///< Retries per start, 0 to 1
    double hedgeBudget = 0.0; ///< Hedged attempts per start, 0 to 1; 0 disables hedging
    std::uint32_t deadlineMs = 10'000; ///< Default deadline of a job
    std::uint32_t maxDeadlineMs = 60'000;
    Guards guards;
    std::map<std::string, KindRules, std::less<>> kinds;

    bool operator==(const TeamRules &) const = default;
};

/// The rules of all teams that are active at one time.
struct RuleSet {
    std::uint64_t rootRevision = 0;
    std::map<std::string, TeamRules, std::less<>> teams;

    bool operator==(const RuleSet &) const = default;
};

} // namespace LaburnumFlow::Settings
