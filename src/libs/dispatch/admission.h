#pragma once

#include "context.h"

#include <optional>

namespace LaburnumFlow::Dispatch::Internal {

/// Refuses a job that has no tasks or exceeds the protocol's limits. Needs neither rules nor the ledger.
std::optional<Protocol::JobFailed> checkBodyLimits(const Protocol::JobBody &body);

/// Refuses a job by the team's rules: unknown team or kind, exceeded guards, a kind that no agent runs.
std::optional<Protocol::JobFailed> checkTeamRules(Context &context, const Protocol::JobBody &body);

/// Refuses a job if the team's queue is full or if it can't end before its deadline. Called by the owner only.
std::optional<Protocol::JobFailed> checkLoad(Context &context, const Protocol::JobBody &body, Base::MonoTime deadline);

/// Returns the deadline in milliseconds by the team's rules: the default for 0, at most the maximum.
std::uint32_t effectiveDeadlineMs(const Settings::TeamRules *rules, std::uint32_t deadlineMs);

Protocol::JobFailed makeRefusal(Protocol::Outcome outcome, Protocol::Reason reason, std::uint32_t retryAfterMs = 0, std::string detail = {});

} // namespace LaburnumFlow::Dispatch::Internal
