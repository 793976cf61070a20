#pragma once

#include "jobshape.h"
#include "jobtext.h"
#include "ownerstate.h"
#include "taskphase.h"

#include <string>
#include <vector>

/// Functions shared by the source files of the owner's reducer.
namespace LaburnumFlow::Jobs::Internal {

/// State and effects of the event that is being handled.
struct Context {
    OwnerState &state;
    OwnerEffects &effects;
};

void logDecision(Context &context, std::string event, std::vector<std::pair<std::string, std::string>> fields);

/// Returns whether this owner may send orders. Without authority another entry may own the jobs.
bool hasAuthority(const OwnerState &state);

// Jobs.
JobRecord makeJobRecord(const Job &job);

/// Returns the change that records the job's progress.
PutJob makePutJob(const Job &job);
Job *findJob(OwnerState &state, JobId id);

/// Sets a stored queued job to running and removes it from the count of unstarted jobs. Called when a task starts or the job ends.
void markStarted(OwnerState &state, Job &job);

/// Begins occurrences that are due, maxTasksBegunPerTurn at a time.
void beginDueOccurrences(Context &context);

/// Begins the occurrence of a task that an agent has reported, unless it has begun. Returns whether the job holds the task.
bool ensureOccurrenceBegun(Context &context, Job &job, const TaskRef &task);

/// Updates when the job's next occurrence begins. \a enabled is false if the job has ended.
void updateNextOccurrence(OwnerState &state, Job &job, bool enabled);

/// Makes the tasks of those steps ready whose earlier steps are done.
void unblockSteps(Context &context, Job &job);

/// The same for the steps of one occurrence, without a look at the others.
void unblockOccurrence(Context &context, Job &job, OccurrencePosition position);

void setReady(Context &context, Job &job, Task &task);

/// Adds the job to the ready queue or removes it, depending on whether it has tasks that may start.
void requeue(Context &context, Job &job);

/// Moves ready jobs that can't be in time any more behind the others. A best-effort job of which nothing has run is refused if it isn't expected to get workers
/// soon after that.
void updateTimeliness(Context &context);

/// Updates when the job's timeliness changes next, which it does only while the job waits for workers.
void scheduleTimelinessChange(OwnerState &state, Job &job, bool waitsForWorkers);

/// Removes a job of which nothing must be run, recorded or answered any more.
void removeJob(OwnerState &state, Job &job);

/// Records the job's final state. Callers see the previous state until the store holds the final one.
void finishJob(Context &context, Job &job, JobState state, std::vector<EndAck> endAcks);

/// Schedules a record of the job's progress at \a due, unless an earlier one is scheduled.
void recordProgress(Context &context, Job &job, Base::MonoTime due);

/// Records the progress of all jobs that are due.
void flushProgress(Context &context);

/// Abandons best-effort jobs whose callers have stopped waiting, and removes abandoned jobs and kept final states whose time is over.
void expireJobs(Context &context);

/// Keeps a best-effort job at least until the given time.
void extendExpiry(OwnerState &state, Job &job, Base::MonoTime until);

/// Answers queries whose hold time is over.
void answerHeldQueries(Context &context);

/// Answers the callers of a job that has ended and removes the job.
void handleJobFinished(Context &context, Job &job, JobState state);

/// Rewrites the records of jobs under old keys.
void rewriteOldRecords(Context &context);

/// Keeps a recorded final state for queries and submissions of the job.
void keepFinalState(OwnerState &state, JobId job, JobState finalState);

/// Handles changes that the store has recorded.
void handleRecordedChanges(Context &context, const std::vector<Change> &changes);

// Calls.
void handleCall(Context &context, const CallArrived &arrived);
void reply(Context &context, CallId call, CallAnswer answer);

// Cancellations. Each is in the store before it is acknowledged: a successor must know it, and so must an owner that is given the job's submission only then.
void handleCancel(Context &context, CallId id, const CancelCall &call);

/// Returns whether the job was cancelled when it was not known, or while it was a best-effort job.
bool isWithdrawn(const OwnerState &state, JobId job);

/// Answers the submission of a withdrawn job, which is cancelled from the start.
void submitWithdrawn(Context &context, CallId id, const SubmitCall &call);

// Agents.
Agent &findOrAddAgent(OwnerState &state, const std::string &name);
void handleReport(Context &context, const std::string &name, const AgentReport &report);
void handleUnlinked(Context &context, const std::string &name);

/// Adds a run to the agent's, and counts it for its task, unless it is known. \a orders is as for addRun().
void addRunOfTask(OwnerState &state, Agent &agent, const RunRef &run, const Resources &need, std::uint64_t orders);

/// Removes a run from the agent's and from the count of its task. Returns whether it was known.
bool removeRunOfTask(OwnerState &state, Agent &agent, const RunRef &run);
void orderStop(Agent &agent, const RunRef &run);

/// Sends the requirements of a listed run to its agent if the agent doesn't know them because it has been restarted.
void sendRunRequirements(Agent &agent, const Job &job, const RunRef &run);

/// Passes the agents that may run tasks to the recorder.
void recordAgents(Context &context);

/// Updates which agents are recorded, and may therefore get work.
void updateRecordedAgents(Context &context);

/// Treats the runs of agents that have been silent for longer than runExpiryTimeout as ended.
void expireAgents(Context &context);

// Ends of runs.
void handleEnd(Context &context, AgentIndex index, RunEnd end);
void handleRefusal(Context &context, AgentIndex index, const RunRefusal &refusal);
void handleStalled(Context &context, AgentIndex index, const RunRef &run);
void handleCheckpoint(Context &context, const RunCheckpoint &checkpoint);

/// Lets the task start on other workers if one of them may run it and has room within avoidanceTimeout.
void avoidAgent(const OwnerState &state, Task &task, AgentIndex agent);

/// Handles a run that is over although the worker has listed no end of it. Its task may start again.
void handleTaskLost(Context &context, const RunRef &run, AgentIndex agent);

// Attempts.

/// Counts the run, which has failed, as an attempt of its task, or of all members of its gang, unless it is counted already.
void countFailedRun(Job &job, const RunRef &run);

/// Returns whether the end counts as an attempt although it doesn't decide about its task: a former owner has started the task again since, and may not have
/// recorded the failure. Best-effort jobs aren't recorded.
bool isOtherAttempt(const Job &job, const RunEnd &end);

/// Counts such an end. The task's active run goes on unless its job has failed.
void handleOtherAttempt(Context &context, Job &job, AgentIndex agent, const RunEnd &end, const EndAck &endAck);

// Runs of former owners.

/// Returns whether every run of a former owner is known or has ended.
bool formerRunsResolved(const OwnerState &state);

/// Handles the end of a task's run. The task becomes ready, or in doubt if another run of it by a former owner may still be running.
void releaseTask(Context &context, Job &job, Task &task);

/// Returns whether the task's active run was started by a former owner. It may be a cancelled start that agents still list, and no run at all.
bool isAdopted(const OwnerState &state, const Task &task);

/// Orders the stop of other active runs of the run's task, or of all members of its gang.
void stopOtherRuns(OwnerState &state, const Job &job, const RunRef &run);

/// Makes a listed run the active run of its task, also in place of an earlier run that was adopted, or stops it if the task needs none.
void adoptRun(Context &context, Job &job, AgentIndex index, const RunRef &run);

/// Adopts the orphans of the job.
void adoptOrphans(Context &context, Job &job);

/// Orders the stop of all runs of stored jobs once the store hasn't confirmed this owner for storedWorkTimeout: a successor that can't reach their agents
/// starts their tasks again. Long-running tasks go on, as their users need them also in a long outage.
void stopStoredRuns(Context &context);

/// Returns whether the run must not go on without a newer proof from the store.
bool needsStoreProof(const OwnerState &state, const Job &job, const RunRef &run);

/// Waits again for the agents whose reports the owner has stopped waiting for while former owners were not fenced. One of those turns out to
/// have gone on, so its runs may still be running.
void awaitGivenUpAgents(Context &context);

/// Stops the orphans whose jobs have not been submitted again in time. They stay orphans until they have ended, as a job that is submitted
/// meanwhile must wait for that.
void stopOrphans(Context &context);

/// Unblocks the tasks in doubt, maxTasksResolvedPerTurn at a time, once none of the former owners' unreported runs can be running any more.
void resolveTasksInDoubt(Context &context);

// Gangs: steps whose tasks run together or not at all.

/// Handles a member's run that is done, which completes all members.
void handleGangDone(Context &context, Job &job, StepIndex step, AgentIndex agent, const EndAck &endAck);

/// Handles a member's run that has failed.
void handleGangFailure(Context &context, Job &job, const RunRef &run, AgentIndex agent, const EndAck &endAck);

/// Handles a member's run that has ended otherwise or has never started. Stops the other members; all restart together.
void handleGangMemberLost(Context &context, Job &job, const TaskRef &task);

/// Stops gangs of which only some members run because the former owner's runs of the others are lost.
void breakPartialGangs(Context &context, Job &job);

/// Returns whether a listed run can belong to the current run of its gang. True if the task is in no gang.
bool mayJoinGang(const Job &job, const RunRef &run);

// Advice on workers.

/// Asks the advice service about workers for one of the steps that have suitable workers without a valid decision. \a steps are in the order of the queue; the
/// steps take turns.
void askAdvice(Context &context, std::vector<AdvisedStep> steps);

void handleAdvice(Context &context, const AdviceGiven &given);

/// Drops the ticket for the step, which the worker has not accepted.
void dropTicket(OwnerState &state, const AdvisedStep &step, AgentIndex index);

/// Drops all advice for the job's steps.
void dropAdvice(OwnerState &state, JobId job);

/// Drops the advice for the steps of the occurrence at the position.
void dropAdvice(OwnerState &state, const Job &job, OccurrencePosition position);

/// Finishes the job if all its tasks are done. Otherwise records the progress and unblocks further steps. \a step is that of the task that was done, and
/// \a endAck the end of its run.
void handleProgress(Context &context, Job &job, StepIndex step, AgentIndex agent, const EndAck &endAck);

/// Acknowledges an end once the job's next record is stored; immediately for a best-effort job, which isn't stored.
void acknowledgeWithRecord(Context &context, Job &job, AgentIndex agent, const EndAck &endAck, Base::MonoTime due);

// Scheduling.
void schedule(Context &context);

/// Requests another scheduling round at the given time at the latest.
void requestRescheduleAt(OwnerState &state, Base::MonoTime due);

} // namespace LaburnumFlow::Jobs::Internal
