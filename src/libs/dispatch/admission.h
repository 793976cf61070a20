#pragma once

#include "context.h"

#include <optional>

namespace LaburnumFlow::Dispatch::Internal {

/// Refusals that need neither rules nor the ledger: the size of the job by the protocol's limits.
std::optional<Protocol::JobFailed> checkBodyLimits(const Protocol::JobBody &body);

/// Refusals by the team's rules: unknown team or kind, guards, kinds that no agent runs.
std::optional<Protocol::JobFailed> checkTeamRules(Context &context, const Protocol::JobBody &body);

/// Refuses a job whose queue is full or that can't end before its deadline. Called by the owner only.
std::optional<Protocol::JobFailed> checkLoad(Context &context, const Protocol::JobBody &body, Base::MonoTime deadline);

/// The deadline in ms by the team's rules: the default for 0, at most the maximum.
std::uint32_t effectiveDeadlineMs(const Settings::TeamRules *rules, std::uint32_t deadlineMs);

Protocol::JobFailed makeRefusal(Protocol::Outcome outcome, Protocol::Reason reason, std::uint32_t retryAfterMs = 0, std::string detail = {});

} // namespace LaburnumFlow::Dispatch::Internal
