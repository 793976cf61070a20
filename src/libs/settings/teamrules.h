#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Settings of the daemons and of the teams. Everything here is a parsed, checked value.
namespace LaburnumFlow::Settings {

/// Resources that a task needs on its worker.
struct Resources {
    double cores = 0; ///< 0 means any
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const Resources &) const = default;
};

/// Rules of one kind of work, after inheritance from the team and the root.
struct KindRules {
    bool idempotent = false; ///< only idempotent kinds are retried after a lost attempt
    bool ordered = false; ///< tasks of one ordering key start one after the other
    bool urgent = false;
    std::uint32_t expectedMs = 200; ///< declared run time at reference speed
    std::uint32_t limitMs = 60'000; ///< longer runs are stopped
    Resources resources;

    bool operator==(const KindRules &) const = default;
};

/// Bounds that protect the service from a team's own mistakes.
struct Guards {
    std::uint32_t maxTasksPerJob = 580;
    std::uint32_t maxPayloadBytes = 65'536;
    std::uint32_t maxQueuedTasks = 20'000; ///< per entry

    bool operator==(const Guards &) const = default;
};

/// Rules of one team, after inheritance from the root.
struct TeamRules {
    std::string team;
    std::uint64_t revision = 0; ///< of the team's subtree
    std::uint64_t rootRevision = 0;
    double quota = 1.0; ///< largest share of all slots, above 0, at most 1
    double weight = 1.0; ///< share under contention, above 0
    double retryBudget = 0.1; ///< retries per start, 0 to 1
    double hedgeBudget = 0.0; ///< hedges per start, 0 to 1; 0 turns hedges off
    std::uint32_t deadlineMs = 10'000; ///< of jobs that name none
    std::uint32_t maxDeadlineMs = 60'000;
    Guards guards;
    std::map<std::string, KindRules, std::less<>> kinds;

    bool operator==(const TeamRules &) const = default;
};

/// The rules of all teams in force at one moment.
struct RuleSet {
    std::uint64_t rootRevision = 0;
    std::map<std::string, TeamRules, std::less<>> teams;

    bool operator==(const RuleSet &) const = default;
};

} // namespace LaburnumFlow::Settings
