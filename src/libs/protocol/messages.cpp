#include "messages.h"

namespace LaburnumFlow::Protocol {

std::string_view toString(AttemptState state)
{
    switch (state) {
    case AttemptState::Queued:
        return "queued";
    case AttemptState::Running:
        return "running";
    case AttemptState::Succeeded:
        return "succeeded";
    case AttemptState::Failed:
        return "failed";
    case AttemptState::Refused:
        return "refused";
    case AttemptState::Stopped:
        return "stopped";
    case AttemptState::Lost:
        return "lost";
    }
    return "lost";
}

std::string_view toString(AgentReason reason)
{
    switch (reason) {
    case AgentReason::None:
        return "none";
    case AgentReason::EpochTooLow:
        return "epoch-too-low";
    case AgentReason::TokenTooOld:
        return "token-too-old";
    case AgentReason::SettingsTooOld:
        return "settings-too-old";
    case AgentReason::QueueFull:
        return "queue-full";
    case AgentReason::Draining:
        return "draining";
    case AgentReason::Fenced:
        return "fenced";
    case AgentReason::KindUnknown:
        return "kind-unknown";
    case AgentReason::BackendBusy:
        return "backend-busy";
    case AgentReason::BackendUnreachable:
        return "backend-unreachable";
    case AgentReason::BackendError:
        return "backend-error";
    case AgentReason::BackendLost:
        return "backend-lost";
    case AgentReason::Cancelled:
        return "cancelled";
    case AgentReason::LeaseEnded:
        return "lease-ended";
    case AgentReason::RunTimeLimit:
        return "run-time-limit";
    case AgentReason::DeadlinePast:
        return "deadline-past";
    case AgentReason::Duplicate:
        return "duplicate";
    }
    return "none";
}

} // namespace LaburnumFlow::Protocol
