#pragma once

#include "caseworker.h"
#include "record.h"

#include "standins/platformsite/platformstandin.h"

#include <sys/types.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Review {

/// Starts entries and agents with the commands and the templates of deploy/, as processes of their own on loopback addresses, around
/// a stand-in of the platform's store and workers. Ends all of them on destruction.
class CaseSite
{
public:
    /// \a root is the root of the repository.
    CaseSite(std::string root, Record &record);
    ~CaseSite();
    CaseSite(const CaseSite &) = delete;
    CaseSite &operator=(const CaseSite &) = delete;

    /// Writes a configuration with one queue, "q" on the host q.example under /q/, whose tasks the service runs.
    void putConfig(int version, int maxAttempts);

    void startEntries(int count);
    /// Starts a worker and the agent on its machine.
    CaseWorker &addWorker(WorkerShape shape);

    /// Waits until all entries say that they are ready and all agents have been told of their workers. Returns false after 20 s.
    bool waitUntilReady();

    const std::vector<std::string> &fronts() const
    {
        return fronts_;
    }

    std::deque<std::unique_ptr<CaseWorker>> &workers()
    {
        return workers_;
    }

    pid_t entryPid(std::size_t index) const
    {
        return entryPids_[index];
    }

    pid_t agentPid(std::size_t index) const
    {
        return agentPids_[index];
    }

    /// Whether a process that the case has not ended is gone.
    bool hasCrashed();

    static constexpr const char *service = "huvo11a";

    PlatformSite::PlatformStandIn store;
    GangBoard gangs;

private:
    using Fields = std::map<std::string, std::string>;

    pid_t start(const std::string &role, const std::string &name, Fields fields);
    std::string fill(const std::string &text, const Fields &fields) const;

    std::string root_;
    Record &record_;
    std::string folder_;
    std::vector<std::string> fronts_;
    std::vector<std::string> ready_;
    std::vector<pid_t> entryPids_;
    std::vector<pid_t> agentPids_;
    std::vector<pid_t> pids_;
    std::deque<std::unique_ptr<CaseWorker>> workers_;
};

} // namespace Review
