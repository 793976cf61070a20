#include "ownerchangemodel.h"

#include "jobs/jobtext.h"

namespace LaburnumFlow::EntryNode::Testing {

namespace {

constexpr Base::Duration lateExecutionMin = 2s;
constexpr Base::Duration lateExecutionMax = 12s;
constexpr Base::Duration runTimeMin = 100ms;
constexpr Base::Duration runTimeMax = 2500ms;

} // namespace

TaskAgent::HoldAnswered OwnerChangeModel::unanswered(const TaskAgent::CallHold &call)
{
    return {false, false, 0, {}, call.number, call.calledAt, {}, {}};
}

/// Returns whether the next call to a worker gets no answer and is executed late.
bool OwnerChangeModel::isCallLate()
{
    return options_.lateCallShare > 0 && chance(options_.lateCallShare);
}

void OwnerChangeModel::callStart(NodeIndex index, const TaskAgent::CallStart &call)
{
    if (isCallLate()) {
        note(agentAt(index).name + " gets no answer to the start of " + Jobs::formatRun(call.run));
        post(randomTime(lateExecutionMin, lateExecutionMax), [this, index, call] { executeStart(index, call); });
        postToAgent(call.timeout, index, TaskAgent::StartAnswered{call.run, call.workerStartTimeMs, TaskAgent::StartAnswered::Outcome::NoAnswer, {}, {}});
        return;
    }
    post(randomTime(1ms, 6ms), [this, index, call] { postToAgent(randomTime(1ms, 6ms), index, executeStart(index, call)); });
}

void OwnerChangeModel::callStop(NodeIndex index, const TaskAgent::CallStop &call)
{
    const bool late = isCallLate();
    if (late) {
        note(agentAt(index).name + " gets no answer to the stop of " + Jobs::formatRun(call.run));
        postToAgent(call.timeout, index, TaskAgent::StopAnswered{call.run, call.workerStartTimeMs, false});
    }
    post(late ? randomTime(lateExecutionMin, lateExecutionMax) : randomTime(1ms, 6ms), [this, index, call, late] {
        agentAt(index).worker.expire(now_);
        const bool stopped = agentAt(index).worker.stop(call, now_);
        if (!late) {
            postToAgent(randomTime(1ms, 6ms), index, TaskAgent::StopAnswered{call.run, call.workerStartTimeMs, stopped});
        }
    });
}

void OwnerChangeModel::callHold(NodeIndex index, const TaskAgent::CallHold &call)
{
    agentAt(index).pendingHolds[call.number] = call;
    const bool late = isCallLate();
    if (late) {
        note(agentAt(index).name + " gets no answer to hold call " + std::to_string(call.number));
        post(call.timeout, [this, index, call] { answerHold(index, call, unanswered(call)); });
    }
    post(late ? randomTime(lateExecutionMin, lateExecutionMax) : randomTime(1ms, 6ms), [this, index, call, late] {
        const bool held = beginHold(index, call);
        if (late) {
            return;
        }
        if (!held) {
            TaskAgent::HoldAnswered refused = unanswered(call);
            refused.refusedFence = call.fence;
            answerHold(index, call, refused);
            return;
        }
        post(call.wait, [this, index, call] {
            agentAt(index).worker.expire(now_);
            answerHold(index, call, agentAt(index).worker.endHold(call, now_, options_.maxListedEnds));
        });
    });
}

/// The answer is lost if the connection was reset before.
void OwnerChangeModel::answerHold(NodeIndex index, const TaskAgent::CallHold &call, const TaskAgent::HoldAnswered &answer)
{
    if (agentAt(index).pendingHolds.erase(call.number) > 0) {
        postToAgent(randomTime(1ms, 6ms), index, answer);
    }
}

TaskAgent::StartAnswered OwnerChangeModel::executeStart(NodeIndex index, const TaskAgent::CallStart &call)
{
    expireWorkers();
    ModelWorker &worker = agentAt(index).worker;
    TaskAgent::StartAnswered answer{call.run, call.workerStartTimeMs, TaskAgent::StartAnswered::Outcome::Refused, Jobs::RunRefusal::Reason::Stale, {}};
    if (!worker.accepts(call, now_)) {
        return answer;
    }
    checkStart(index, call.run);
    const Base::Duration runTime = randomTime(runTimeMin, runTimeMax);
    worker.start(call, now_, runTime, drawOutcome(call.run));
    note(agentAt(index).name + " starts " + Jobs::formatRun(call.run));
    ++starts_;
    answer.outcome = TaskAgent::StartAnswered::Outcome::Started;
    answer.workerClock = worker.clock(now_);
    return answer;
}

/// Returns whether the worker executes the call.
bool OwnerChangeModel::beginHold(NodeIndex index, const TaskAgent::CallHold &call)
{
    ModelWorker &worker = agentAt(index).worker;
    worker.expire(now_);
    const auto acknowledged = worker.beginHold(call, now_);
    if (!acknowledged) {
        return false;
    }
    for (const ModelWorker::AcknowledgedEnd &ended : *acknowledged) {
        checkAcknowledgedEnd(ended);
    }
    return true;
}

} // namespace LaburnumFlow::EntryNode::Testing
