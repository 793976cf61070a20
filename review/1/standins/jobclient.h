#pragma once

#include "casesite.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Review {

/// A job as a client has handed it in.
struct SentJob {
    std::string id;
    std::string group; ///< which kind of job it is in the case
    int tasks = 1;
    std::int64_t cpu = 0; ///< of a task, in thousandths of a core
    std::int64_t memMb = 0;
    std::string requires_; ///< label that the worker must have; empty for any
    bool lasts = false;
    int maxPerServer = 0;
    bool accepted = false; ///< an answer with 2xx
    std::string state; ///< from the last answer to a GET: "410" if there is no such job, empty if there was no answer
};

/// The parts of a step that a case sets.
struct StepShape {
    int count = 1;
    std::int64_t cpu = 3100;
    std::int64_t memMb = 64;
    int estimateMs = 100;
    std::string requires_ = {};
    std::string dataRack = {};
    int maxPerServer = 0;
    bool gang = false;
    bool lasts = false;
    bool fails = false;
};

/// Clients that submit stored jobs to the entries in turn and ask for their states.
class JobClient
{
public:
    JobClient(CaseSite &site, Record &record) : site_(site), record_(record) { }

    /// Submits a job of one step. After no answer, 502 or 504 it is sent again with the same ID, at most four times.
    void submit(const std::string &group, const StepShape &step);

    /// Submits jobs of a group with the given pause for the given time.
    void submitFor(const std::string &group, const StepShape &step, std::chrono::milliseconds time, std::chrono::milliseconds pause);

    /// Asks for the states of all accepted jobs that aren't known to have ended.
    void askStates();

    std::map<std::string, SentJob> &jobs()
    {
        return jobs_;
    }

    /// Checks the part of LOST that holds from finish_s after the end of the traffic: for 3 s a job has nothing running while a task's
    /// turn has come, there is capacity for it twice over, and under half of the service's capacity is in use; or it isn't known. With
    /// tasks that last, each task counts. Returns the IDs of the lost jobs. The job's steps have no dependencies in these cases, so the turn
    /// of all its tasks has come.
    std::vector<std::string> lostJobs();

private:
    /// Returns whether the job could run now and doesn't.
    bool isIdleDespiteRoom(const SentJob &job, const std::vector<CaseWorker::Use> &uses, const std::vector<bool> &up) const;

    CaseSite &site_;
    Record &record_;
    std::mutex mutex_;
    std::map<std::string, SentJob> jobs_;
    std::uint64_t sent_ = 0;
};

} // namespace Review
