#include "waitingjobs.h"

#include <algorithm>

namespace LaburnumFlow::Jobs::Testing {

namespace {

constexpr JobId firstBlockedJob = 1000;
constexpr std::uint32_t blockedJobs = 100;
constexpr Base::Duration reportInterval = std::chrono::milliseconds(50);

} // namespace

void submitBlocked(OwnerHarness &owner, const SubmitCall &blocked)
{
    for (JobId job = firstBlockedJob; job < firstBlockedJob + blockedJobs; ++job) {
        SubmitCall call = blocked;
        call.job = job;
        owner.submit(job, call);
    }
    owner.commitAll();
}

void commitWithReports(OwnerHarness &owner)
{
    do {
        owner.advanceTimeWithReports(reportInterval);
    } while (owner.commit());
}

void submitAndCommit(OwnerHarness &owner, const SubmitCall &call)
{
    owner.submit(call.job, call);
    commitWithReports(owner);
}

SubmitCall requiring(SubmitCall call, const std::string &label)
{
    call.spec.steps.front().requiredLabel = label;
    return call;
}

SubmitCall longRunning(SubmitCall call)
{
    call.spec.steps.front().longRunning = true;
    call.spec.steps.front().maxPerWorker = 1;
    return call;
}

SubmitCall gang(SubmitCall call)
{
    call.spec.steps.front().gang = true;
    return call;
}

SubmitCall advised(SubmitCall call)
{
    call.rules.advice = AdviceRules{20, 5, 3000};
    return call;
}

std::size_t startsOf(const OwnerHarness &owner, JobId job)
{
    std::size_t count = 0;
    for (const Agent &agent : owner.state.agents) {
        const std::vector<RunRef> runs = owner.orderedStarts(agent.name);
        count += static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [job](const RunRef &run) { return run.task.job == job; }));
    }
    return count;
}

} // namespace LaburnumFlow::Jobs::Testing
