#include "ownerchangemodel.h"

#include "jobs/jobtext.h"

namespace LaburnumFlow::EntryNode::Testing {

namespace {

constexpr Base::Duration lateExecutionMin = 2s;
constexpr Base::Duration lateExecutionMax = 12s;
constexpr Base::Duration wayMin = 1ms; ///< From an agent to its worker and back.
constexpr Base::Duration wayMax = 6ms;
constexpr Base::Duration runTimeMin = 100ms;
constexpr Base::Duration runTimeMax = 2500ms;

TaskAgent::StartAnswered startAnswer(const TaskAgent::CallStart &call, TaskAgent::StartAnswered::Outcome outcome)
{
    return {call.run, call.workerStartTimeMs, outcome, Jobs::RunRefusal::Reason::Stale, {}};
}

} // namespace

TaskAgent::HoldAnswered OwnerChangeModel::unanswered(const TaskAgent::CallHold &call)
{
    return {false, false, 0, {}, call.number, call.calledAt, {}, {}};
}

OwnerChangeModel::CallFate OwnerChangeModel::drawFate(NodeIndex index, const std::string &call)
{
    if (options_.lateCallShare > 0 && chance(options_.lateCallShare)) {
        note(agentAt(index).name + " gets no answer to " + call);
        return CallFate::Late;
    }
    if (options_.lostAnswerShare > 0 && chance(options_.lostAnswerShare)) {
        note(agentAt(index).name + " loses the connection of " + call);
        ++lostAnswers_;
        return CallFate::AnswerLost;
    }
    if (isSentTwice()) {
        note(agentAt(index).name + " sends twice " + call);
        return CallFate::SentTwice;
    }
    return CallFate::Answered;
}

bool OwnerChangeModel::isSentTwice()
{
    const bool sentTwice = options_.secondSendingShare > 0 && chance(options_.secondSendingShare);
    lostAnswers_ += sentTwice ? 1 : 0;
    return sentTwice;
}

bool OwnerChangeModel::isWorkerDown(NodeIndex index) const
{
    return now_ < agents_[index - firstAgent].workerDownUntil;
}

/// Returns whether the worker, which the call has reached, says that it is unhealthy.
bool OwnerChangeModel::refusesCall()
{
    return options_.refusedCallShare > 0 && chance(options_.refusedCallShare);
}

void OwnerChangeModel::callStart(NodeIndex index, const TaskAgent::CallStart &call)
{
    using Outcome = TaskAgent::StartAnswered::Outcome;
    const CallFate fate = drawFate(index, "the start of " + Jobs::formatRun(call.run));
    if (fate == CallFate::Late) {
        post(randomTime(lateExecutionMin, lateExecutionMax), [this, index, call] { executeStart(index, call); });
        postToAgent(call.timeout, index, startAnswer(call, Outcome::NoAnswer));
        return;
    }
    post(randomTime(wayMin, wayMax), [this, index, call, fate] {
        const Base::Duration wayBack = randomTime(wayMin, wayMax);
        const TaskAgent::StartAnswered answer = executeStart(index, call);
        if (fate == CallFate::SentTwice) {
            sendStartAgain(index, call);
            return;
        }
        const bool lost = fate == CallFate::AnswerLost && answer.outcome != Outcome::NotSent;
        postToAgent(wayBack, index, lost ? startAnswer(call, Outcome::NoAnswer) : answer);
    });
}

/// The answer to the second sending counts as the answer to the call.
void OwnerChangeModel::sendStartAgain(NodeIndex index, const TaskAgent::CallStart &call)
{
    postToAgentProcess(randomTime(wayMin, wayMax), index, [this, index, call] {
        const bool unreachable = chance(options_.unreachableAgainShare);
        const auto answer = unreachable ? startAnswer(call, TaskAgent::StartAnswered::Outcome::NotSent) : executeStart(index, call);
        postToAgent(randomTime(wayMin, wayMax), index, answer);
    });
}

void OwnerChangeModel::callStop(NodeIndex index, const TaskAgent::CallStop &call)
{
    const CallFate fate = drawFate(index, "the stop of " + Jobs::formatRun(call.run));
    if (fate == CallFate::Late) {
        postToAgent(call.timeout, index, TaskAgent::StopAnswered{call.run, call.workerStartTimeMs, false});
        post(randomTime(lateExecutionMin, lateExecutionMax), [this, index, call] { executeStop(index, call); });
        return;
    }
    post(randomTime(wayMin, wayMax), [this, index, call, fate] {
        const bool stopped = executeStop(index, call);
        if (fate == CallFate::SentTwice) {
            sendStopAgain(index, call);
            return;
        }
        const bool lost = fate == CallFate::AnswerLost;
        postToAgent(randomTime(wayMin, wayMax), index, TaskAgent::StopAnswered{call.run, call.workerStartTimeMs, stopped && !lost});
    });
}

/// The answer to the second sending counts as the answer to the call.
void OwnerChangeModel::sendStopAgain(NodeIndex index, const TaskAgent::CallStop &call)
{
    postToAgentProcess(randomTime(wayMin, wayMax), index, [this, index, call] {
        const bool stopped = !chance(options_.unreachableAgainShare) && executeStop(index, call);
        postToAgent(randomTime(wayMin, wayMax), index, TaskAgent::StopAnswered{call.run, call.workerStartTimeMs, stopped});
    });
}

void OwnerChangeModel::callHold(NodeIndex index, const TaskAgent::CallHold &call)
{
    agentAt(index).pendingHolds[call.number] = call;
    const CallFate fate = drawFate(index, "hold call " + std::to_string(call.number));
    if (fate == CallFate::Late) {
        post(call.timeout, [this, index, call] { answerHold(index, call, unanswered(call)); });
    }
    const Base::Duration delay = fate == CallFate::Late ? randomTime(lateExecutionMin, lateExecutionMax) : randomTime(wayMin, wayMax);
    post(delay, [this, index, call, fate] { executeHold(index, call, fate); });
}

/// The answer to the second sending counts as the answer to the call.
void OwnerChangeModel::sendHoldAgain(NodeIndex index, const TaskAgent::CallHold &call, Base::Duration delay)
{
    agentAt(index).pendingHolds[call.number] = call;
    postToAgentProcess(delay, index, [this, index, call] {
        if (!agentAt(index).pendingHolds.contains(call.number)) {
            return;
        }
        if (chance(options_.unreachableAgainShare)) {
            TaskAgent::HoldAnswered answer = unanswered(call);
            answer.refused = true;
            answerHold(index, call, answer);
            return;
        }
        executeHold(index, call, CallFate::Answered);
    });
}

/// The answer is lost if the connection was reset before.
void OwnerChangeModel::answerHold(NodeIndex index, const TaskAgent::CallHold &call, const TaskAgent::HoldAnswered &answer)
{
    if (agentAt(index).pendingHolds.erase(call.number) > 0) {
        postToAgent(randomTime(wayMin, wayMax), index, answer);
    }
}

TaskAgent::StartAnswered OwnerChangeModel::executeStart(NodeIndex index, const TaskAgent::CallStart &call)
{
    using Outcome = TaskAgent::StartAnswered::Outcome;
    expireWorkers();
    if (isWorkerDown(index)) {
        return startAnswer(call, Outcome::NotSent);
    }
    TaskAgent::StartAnswered answer = startAnswer(call, Outcome::Refused);
    if (refusesCall()) {
        answer.reason = Jobs::RunRefusal::Reason::Unhealthy;
        return answer;
    }
    switch (agentAt(index).worker.replyTo(call, now_)) {
    case ModelWorker::StartReply::LowFence:
        answer.outcome = options_.fenceRefusalsUnanswered ? Outcome::NoAnswer : Outcome::Refused;
        return answer;
    case ModelWorker::StartReply::Outdated:
        return answer;
    case ModelWorker::StartReply::Accepted:
        beginRun(index, call);
        break;
    case ModelWorker::StartReply::AlreadyRunning:
        break;
    }
    answer.outcome = Outcome::Started;
    answer.workerClock = agentAt(index).worker.clock(now_);
    return answer;
}

void OwnerChangeModel::beginRun(NodeIndex index, const TaskAgent::CallStart &call)
{
    checkStart(index, call.run);
    const Base::Duration runTime = randomTime(runTimeMin, runTimeMax);
    agentAt(index).worker.start(call, now_, runTime, drawOutcome(call.run));
    note(agentAt(index).name + " starts " + Jobs::formatRun(call.run));
    ++starts_;
}

/// Returns whether the worker executes the call.
bool OwnerChangeModel::executeStop(NodeIndex index, const TaskAgent::CallStop &call)
{
    if (isWorkerDown(index) || refusesCall()) {
        return false;
    }
    agentAt(index).worker.expire(now_);
    return agentAt(index).worker.stop(call, now_);
}

void OwnerChangeModel::executeHold(NodeIndex index, const TaskAgent::CallHold &call, CallFate fate)
{
    const auto refusal = beginHold(index, call);
    switch (fate) {
    case CallFate::Late:
        return;
    case CallFate::AnswerLost:
        answerHold(index, call, refusal && refusal->refused ? *refusal : unanswered(call));
        return;
    case CallFate::SentTwice:
        sendHoldAgain(index, call, randomTime(wayMin, wayMax + call.wait));
        return;
    case CallFate::Answered:
        break;
    }
    if (refusal) {
        answerHold(index, call, *refusal);
        return;
    }
    post(call.wait, [this, index, call, startTimeMs = agentAt(index).worker.startTimeMs()] {
        if (agentAt(index).worker.startTimeMs() == startTimeMs) {
            agentAt(index).worker.expire(now_);
            answerHold(index, call, agentAt(index).worker.endHold(call, now_, options_.maxListedEnds));
        }
    });
}

/// Executes the call up to its wait. Returns the answer if the worker doesn't execute it.
std::optional<TaskAgent::HoldAnswered> OwnerChangeModel::beginHold(NodeIndex index, const TaskAgent::CallHold &call)
{
    TaskAgent::HoldAnswered refusal = unanswered(call);
    if (isWorkerDown(index)) {
        refusal.refused = true;
        return refusal;
    }
    if (refusesCall()) {
        return refusal;
    }
    ModelWorker &worker = agentAt(index).worker;
    worker.expire(now_);
    const auto acknowledged = worker.beginHold(call, now_);
    if (!acknowledged) {
        refusal.refusedFence = call.fence;
        return refusal;
    }
    for (const ModelWorker::AcknowledgedEnd &ended : *acknowledged) {
        checkAcknowledgedEnd(ended);
    }
    return std::nullopt;
}

} // namespace LaburnumFlow::EntryNode::Testing
