#pragma once

#include "ownerharness.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Plays an owner with jobs of all forms and with workers in trouble, and checks that no job waits for ever. All is drawn from a seed.
namespace LaburnumFlow::Jobs::Testing {

/// A run on a simulated worker.
struct ModelRun {
    Base::MonoTime since{};
    std::optional<Base::MonoTime> endsAt; ///< Not set if it goes on until it is stopped.
    bool stalls = false; ///< It makes no progress; its agent reports it as stalled.
    RunOutcome outcome = RunOutcome::Done;
    Resources need;
};

/// How a worker in trouble answers starts.
enum class Grey : std::uint8_t {
    Fails, ///< All runs fail soon.
    Refuses, ///< All starts are refused.
};

struct ModelWorker {
    std::string agent;
    WorkerInfo info;
    bool lost = false;
    Grey grey = Grey::Fails;
    Base::MonoTime greyUntil{};
    Base::MonoTime silentSince{};
    Base::MonoTime silentUntil{}; ///< The agent doesn't report.
    std::map<RunRef, ModelRun> runs;
    std::size_t startsSeen = 0;
    std::size_t stopsSeen = 0;
};

class WaitingModel
{
public:
    explicit WaitingModel(unsigned seed);

    /// Plays the seed. Returns what went wrong, or an empty string.
    std::string play();

private:
    void addWorkers();
    void submitJob();
    SubmitCall drawJob(JobId id);
    StepSpec drawStep(bool first);
    void cancelJob();
    void makeTrouble();
    void step();
    void takeOrders(ModelWorker &worker);
    void begin(ModelWorker &worker, const RunRef &run);
    void endRuns(ModelWorker &worker);
    void reportEnd(ModelWorker &worker, const RunRef &run, RunOutcome outcome);
    void refuse(const ModelWorker &worker, const RunRef &run, RunRefusal::Reason reason);
    void answerAdvice();
    bool isAllowed(JobId job, const std::string &worker) const;
    void noteWaiting();
    bool isLeftWaiting(const Job &job, StepIndex step) const;
    std::uint64_t countRuns(const ModelWorker &worker, JobId job, const StepSpec *step, std::uint16_t stepNumber) const;
    std::uint64_t roomFor(const Job &job, const StepSpec &step, std::uint16_t stepNumber) const;
    bool isHalfIdle() const;
    std::string checkCounts() const;
    std::uint32_t draw(std::uint32_t from, std::uint32_t to);
    bool chance(double probability);

    unsigned seed_;
    std::mt19937 random_;
    OwnerHarness owner_;
    std::vector<ModelWorker> workers_;
    JobId nextJob_ = 1;
    std::size_t adviceAnswered_ = 0;
    std::map<std::pair<JobId, StepIndex>, Base::MonoTime> waitingSince_; ///< Steps that are left waiting, and since when.
    std::string fault_;
};

} // namespace LaburnumFlow::Jobs::Testing
