#include "waitreasons.h"

#include "jobshape.h"
#include "placement.h"
#include "waitingsteps.h"

namespace LaburnumFlow::Jobs {

namespace {

bool hasTicket(const OwnerState &state, const Job &job, StepIndex step)
{
    for (AgentIndex index = 0; index < state.agents.size(); ++index) {
        if (!validTicket(state, job, step, index).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string_view toString(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NoWorker:
        return "no-worker";
    case WaitReason::TooLarge:
        return "too-large";
    case WaitReason::NoTicket:
        return "no-ticket";
    case WaitReason::NoRoom:
        return "no-room";
    case WaitReason::HeldBack:
        return "held-back";
    }
    return "unknown";
}

WaitReason waitReason(const OwnerState &state, const Job &job, StepIndex step)
{
    PlacementRequirements requirements = placementRequirements(job, step);
    if (!isServed(state, requirements)) {
        requirements.need = {};
        return isServed(state, requirements) ? WaitReason::TooLarge : WaitReason::NoWorker;
    }
    if (job.rules.advice && !hasTicket(state, job, step)) {
        return WaitReason::NoTicket;
    }
    return hasRoomNow(state, job, step) ? WaitReason::HeldBack : WaitReason::NoRoom;
}

} // namespace LaburnumFlow::Jobs
