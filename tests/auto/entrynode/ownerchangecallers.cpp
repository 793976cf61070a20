#include "ownerchangemodel.h"

#include "jobs/jobtext.h"

#include <utility>

namespace LaburnumFlow::EntryNode::Testing {

namespace {

constexpr std::size_t maxCallers = 12;
constexpr std::uint32_t maxTasksPerStep = 4;
constexpr std::uint32_t taskEstimateMs = 1000;
constexpr Jobs::Resources taskNeed{1000, 64, 0};
constexpr Base::Duration callerTimeout = 1500ms;
constexpr Base::Duration resubmitDelay = 1300ms;
constexpr Base::Duration forwardDelay = 100ms;
constexpr Base::Duration cancelDelayMin = 0ms; ///< From the acceptance of the job.
constexpr Base::Duration cancelDelayMax = 4s;
constexpr std::uint64_t firstCancelCall = std::uint64_t(1) << 32U; ///< Calls that cancel have the job's ID above this number.

Jobs::SubmitCall makeCall(Jobs::JobId job, std::uint32_t tasks, std::uint32_t secondStepTasks, bool stored)
{
    Jobs::SubmitCall call;
    call.job = job;
    call.rules = {"queue", "service", 0, RunRules::maxAttempts, 1.6, 5000};
    call.bestEffort = !stored;
    call.spec.payload = "payload";
    call.spec.steps.push_back({tasks, taskNeed, taskEstimateMs, {}, {}, {}, 0});
    if (secondStepTasks > 0) {
        call.spec.steps.push_back({secondStepTasks, taskNeed, taskEstimateMs, {0}, {}, {}, 0});
    }
    return call;
}

} // namespace

void OwnerChangeModel::addCaller()
{
    const Jobs::JobId job = ++lastJob_;
    Caller caller;
    caller.tasks = static_cast<std::uint32_t>(1 + randomIndex(maxTasksPerStep));
    caller.submitAt = now_;
    caller.stored = isStored(job);
    if (caller.stored && options_.twoStepShare > 0 && chance(options_.twoStepShare)) {
        caller.secondStepTasks = static_cast<std::uint32_t>(1 + randomIndex(maxTasksPerStep));
        rules_.addTwoStepJob(job, caller.tasks);
    }
    callers_[job] = caller;
}

void OwnerChangeModel::updateCallers()
{
    if (now_ >= nextJobAt_) {
        nextJobAt_ = now_ + randomTime(50ms, 250ms);
        if (callers_.size() < maxCallers) {
            addCaller();
        }
    }
    for (auto &[job, caller] : callers_) {
        const Entry &entry = entries_[caller.entry];
        if (caller.epoch != 0 && (!entry.up || !entry.owner || entry.owner->epoch != caller.epoch)) {
            caller.epoch = 0;
            // An entry forwards its own callers' jobs at once; other callers submit again later.
            caller.forwarded = !chance(0.5);
            caller.submitAt = now_ + (caller.forwarded ? forwardDelay : resubmitDelay);
        }
        if (hasTimedOut(caller)) {
            caller.epoch = 0;
            caller.forwarded = false;
            caller.submitAt = now_ + resubmitDelay;
        }
        if (caller.epoch == 0 && now_ >= caller.submitAt) {
            submit(job, caller);
        }
    }
}

bool OwnerChangeModel::isStored(Jobs::JobId job) const
{
    return options_.storedJobs && job % 2 == 1;
}

bool OwnerChangeModel::callersTimeOut() const
{
    return options_.witnesses == Witnesses::WithFormerOwner || options_.witnesses == Witnesses::Absent;
}

bool OwnerChangeModel::hasTimedOut(const Caller &caller) const
{
    return callersTimeOut() && caller.epoch != 0 && now_ - caller.submittedAt >= callerTimeout;
}

/// Returns one of the entries that own the jobs or take themselves for the owner, if there is one that the node can reach.
std::optional<OwnerChangeModel::NodeIndex> OwnerChangeModel::drawOwner(std::optional<NodeIndex> from)
{
    std::vector<NodeIndex> owners;
    for (NodeIndex index = 0; index < entries_.size(); ++index) {
        const bool reachable = !from || !isCut(*from, index);
        if (entries_[index].up && entries_[index].owner && reachable) {
            owners.push_back(index);
        }
    }
    if (owners.empty()) {
        return std::nullopt;
    }
    return owners[randomIndex(owners.size())];
}

void OwnerChangeModel::submit(Jobs::JobId job, Caller &caller)
{
    // An entry that forwards a call is on the side of the owner that it has lost.
    const std::optional<NodeIndex> owner = drawOwner(caller.forwarded ? std::optional(caller.entry) : std::nullopt);
    if (!owner) {
        return;
    }
    caller.entry = *owner;
    caller.epoch = entries_[caller.entry].owner->epoch;
    caller.submittedAt = now_;
    Jobs::SubmitCall call = makeCall(job, caller.tasks, caller.secondStepTasks, caller.stored);
    call.mayHaveRun = std::exchange(caller.submittedBefore, true);
    if (callersTimeOut()) {
        call.callerTimeoutMs = static_cast<std::uint32_t>(callerTimeout / 1ms);
        // Only an entry that has forwarded the call to a lost owner knows that the job may have run.
        call.mayHaveRun = caller.forwarded;
    }
    postToEntry(randomTime(1ms, 8ms), caller.entry, [this, index = caller.entry, job, call] { feedOwner(index, Jobs::CallArrived{job, call}); });
}

void OwnerChangeModel::handleReply(const Jobs::Reply &reply)
{
    using Kind = Jobs::CallAnswer::Kind;
    const Kind kind = reply.answer.kind;
    if (reply.id >= firstCancelCall) {
        if (kind == Kind::Accepted || kind == Kind::NotFound) {
            cancellations_.erase(reply.id - firstCancelCall);
        }
        return;
    }
    callers_.erase(reply.id);
    if (options_.cancelledShare > 0 && kind == Kind::Accepted && isStored(reply.id) && chance(options_.cancelledShare)) {
        cancellations_[reply.id] = now_ + randomTime(cancelDelayMin, cancelDelayMax);
    }
}

/// Sends the cancellations that are due. They are sent again until an owner answers them.
void OwnerChangeModel::updateCancellations()
{
    for (auto &[job, dueAt] : cancellations_) {
        if (now_ < dueAt) {
            continue;
        }
        dueAt = now_ + resubmitDelay;
        const std::optional<NodeIndex> owner = drawOwner();
        if (!owner) {
            continue;
        }
        note("the caller cancels job " + Jobs::formatId(job) + " at " + entries_[*owner].record.name);
        const Jobs::CallArrived call{firstCancelCall + job, Jobs::CancelCall{job}};
        postToEntry(randomTime(1ms, 8ms), *owner, [this, index = *owner, call] { feedOwner(index, call); });
    }
}

} // namespace LaburnumFlow::EntryNode::Testing
