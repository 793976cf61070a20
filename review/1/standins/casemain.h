#pragma once

#include "casesite.h"
#include "jobclient.h"
#include "record.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <string>
#include <thread>

namespace Review {

using namespace std::chrono_literals;

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// Runs a case and returns its exit status. The arguments of the program are the repository's root and the folder of the case, where record.txt
/// is written; with TROUBLE=0 in the environment, \a run gets false and leaves the disruption out.
inline int runCase(int argc, char **argv, const std::function<int(CaseSite &, JobClient &, Record &, bool trouble)> &run)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s REPOSITORY CASE-FOLDER\n", argv[0]);
        return couldNotRun;
    }
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    Record record(std::string(argv[2]) + "/record.txt");
    try {
        CaseSite site(argv[1], record);
        JobClient client(site, record);
        record.write(trouble ? "case begins" : "case begins, without the disruption");
        const int status = run(site, client, record, trouble);
        const bool crashed = site.hasCrashed();
        if (crashed) {
            record.write("a process of the system has ended by itself");
        }
        record.write(status == ruleHeld ? "verdict: the rule held" : status == ruleBroken ? "verdict: the rule was broken" : "verdict: could not run");
        return status;
    } catch (const std::exception &error) {
        record.write(std::string("could not run: ") + error.what());
        return couldNotRun;
    }
}

/// Adds the workers of a small deployment like adire-fold: 3 a rack, all of kind "a" but the last one, which is of kind "b".
inline void addWorkers(CaseSite &site, int workers = 11)
{
    constexpr int workersPerRack = 3;
    for (int i = 0; i < workers; ++i) {
        const std::string kind = i + 1 == workers ? "b" : "a";
        site.addWorker({"i-" + std::to_string(i + 1), {}, {kind, "r1-" + std::to_string(i / workersPerRack + 1)}});
    }
}

/// Waits for finish_s after the end of the traffic and reports which accepted jobs are lost then.
inline int judgeLost(JobClient &client, Record &record)
{
    constexpr auto finishTime = 14s; // finish_s of the site
    record.write("traffic ends");
    std::this_thread::sleep_for(finishTime);
    client.askStates();
    const std::size_t lost = client.lostJobs().size();
    std::size_t accepted = 0;
    for (const auto &[id, job] : client.jobs()) {
        accepted += job.accepted ? 1 : 0;
    }
    record.write("judge: " + std::to_string(client.jobs().size()) + " jobs sent, " + std::to_string(accepted) + " accepted, " + std::to_string(lost) + " lost");
    return lost > 0 ? ruleBroken : ruleHeld;
}

} // namespace Review
