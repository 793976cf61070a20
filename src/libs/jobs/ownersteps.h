#pragma once

#include "jobshape.h"
#include "jobtext.h"
#include "ownerstate.h"

#include <string>
#include <vector>

/// Steps of the owner's reducer that its parts share.
namespace LaburnumFlow::Jobs::Internal {

struct Context {
    OwnerState &state;
    OwnerEffects &effects;
};

void logDecision(Context &context, std::string event, std::vector<std::pair<std::string, std::string>> fields);

// Jobs.
JobRecord makeJobRecord(const Job &job);
Job *findJob(OwnerState &state, JobId id);

/// A task of the job runs, or the job has ended.
void markStarted(OwnerState &state, Job &job);

/// Begins the occurrences that are due, or that a former owner has begun.
void beginDueOccurrences(Context &context);

/// Begins those of the job up to the task's, which an agent has named. Returns whether the job has the task.
bool ensureOccurrenceBegun(Context &context, Job &job, const TaskRef &task);

/// Keeps the time at which the job's next occurrence begins. wanted: the job goes on.
void updateNextOccurrence(OwnerState &state, Job &job, bool wanted);

/// Makes the tasks of steps ready whose earlier steps are done.
void unblockSteps(Context &context, Job &job);

void setReady(Context &context, Job &job, Task &task);

/// Places the job in the ready queue, or removes it, as its tasks demand.
void requeue(Context &context, Job &job);

/// Moves ready jobs that can't be in time any more behind the others. A best-effort job of which nothing has run is
/// refused if it is not expected to get workers there soon.
void updateTimeliness(Context &context);

/// Keeps the time at which the job's gain is less, while it waits for workers.
void scheduleTimelinessChange(OwnerState &state, Job &job, bool ready);

/// Drops a job of which nothing is to be run, recorded or answered any more.
void removeJob(OwnerState &state, Job &job);

/// Records the final state; the job stays visible as it is until then.
void finishJob(Context &context, Job &job, JobState state, std::vector<EndAck> endAcks);

/// Records which tasks are done and how often each failed, not before the given time.
void recordProgress(Context &context, Job &job, Base::MonoTime due);
void flushProgress(Context &context);

/// Stops best-effort jobs whose callers have stopped waiting.
void expireJobs(Context &context);

/// A best-effort job is to be kept at least until then.
void extendExpiry(OwnerState &state, Job &job, Base::MonoTime until);

/// Answers queries that were held long enough.
void answerHeldQueries(Context &context);

/// Answers the callers of a job that has ended and forgets it.
void handleJobFinished(Context &context, Job &job, JobState state);

/// Records jobs anew whose keys are old.
void rewriteOldRecords(Context &context);

/// Handles changes that the store holds now.
void handleRecordedChanges(Context &context, const std::vector<Change> &changes);

// Calls.
void handleCall(Context &context, const CallArrived &arrived);

// Agents.
Agent &findOrAddAgent(OwnerState &state, const std::string &name);
void handleReport(Context &context, const std::string &name, const AgentReport &report);
void handleUnlinked(Context &context, const std::string &name);
void orderStop(Agent &agent, const RunRef &run);

/// Tells the agent, and notes, what a listed run needs, if the agent does not know it as it has been restarted.
void sendRunRequirements(Agent &agent, const Job &job, const RunRef &run);

/// Sees to it that all agents that may run tasks are recorded.
void recordAgents(Context &context);
void updateRecordedAgents(Context &context);

/// Gives up the runs of an agent whose authority has ended.
void expireAgents(Context &context);

// Ends of runs.
void handleEnd(Context &context, AgentIndex index, const RunEnd &end);
void handleRefusal(Context &context, AgentIndex index, const RunRefusal &refusal);
void handleStalled(Context &context, AgentIndex index, const RunRef &run);
void handleCheckpoint(Context &context, const RunCheckpoint &checkpoint);

/// The run has ended without the worker listing an end; its task may start again.
void handleTaskLost(Context &context, const RunRef &run, AgentIndex agent);

// Runs of former owners.

/// Whether the runs of former owners are all known or ended.
bool formerRunsResolved(const OwnerState &state);

/// Keeps the counts of ready and uncertain tasks while the caller moves the task to another phase.
void leavePhase(OwnerState &state, Job &job, const Task &task);

/// The task's run has ended. It may start again, unless another run that a former owner started may still be somewhere.
void releaseTask(Context &context, Job &job, Task &task);

/// Makes a listed run the task's active one, or orders its stop if it is not wanted.
void adoptRun(Context &context, Job &job, AgentIndex index, const RunRef &run);

/// Makes the runs that a former owner started for the job its own.
void adoptOrphans(Context &context, Job &job);

/// Stops the runs whose jobs nobody has submitted again.
void expireOrphans(Context &context);

/// Frees the tasks that a former owner may have started, once nothing of them can run any more.
void resolveTasksInDoubt(Context &context);

// Gangs: steps whose tasks run together or not at all.

/// A member's run has ended as done, which stands for all members. settlement: of that end.
void handleGangDone(Context &context, Job &job, StepIndex step, AgentIndex agent, const EndAck &endAck);

/// A member's run has failed.
void handleGangFailure(Context &context, Job &job, const TaskRef &task, AgentIndex agent, const EndAck &endAck);

/// A member's run has ended otherwise, or never began. The others are stopped, and all start again together.
void handleGangMemberLost(Context &context, Job &job, const TaskRef &task);

/// Stops gangs of which only some members run, as a former owner's runs of the others are lost.
void breakPartialGangs(Context &context, Job &job);

/// Whether a listed run may belong to the gang's present run.
bool mayJoinGang(const Job &job, const RunRef &run);

// Advice on workers.

/// Asks for the first of the steps for which some worker has not been asked about yet.
void askAdvice(Context &context, const std::vector<AdvisedStep> &wanted);

void handleAdvice(Context &context, const AdviceGiven &given);

/// The worker did not take the step's ticket.
void dropTicket(OwnerState &state, const AdvisedStep &step, AgentIndex index);

/// Drops what is known for the job's steps.
void dropAdvice(OwnerState &state, JobId job);

/// Finishes the job if all is done, and opens its next steps otherwise. settlement: of the end that says so.
void handleProgress(Context &context, Job &job, AgentIndex agent, const EndAck &endAck);

/// Settles an end with the job's next record; at once for a best-effort job, which has none.
void acknowledgeWithRecord(Context &context, Job &job, AgentIndex agent, const EndAck &endAck, Base::MonoTime due);

// Scheduling.
void schedule(Context &context);

/// Looks at the ready jobs again at the time, also if nothing happens until then.
void requestRescheduleAt(OwnerState &state, Base::MonoTime due);

} // namespace LaburnumFlow::Jobs::Internal
