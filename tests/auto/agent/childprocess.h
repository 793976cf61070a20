#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace LaburnumFlow::Agent {

/// Runs a program from the folder LABURNUMFLOW_BIN that prints `port=N` once it serves. The destructor kills the process if
/// it still runs.
class ChildProcess
{
public:
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    void signal(int number) const;

    /// Waits for the process to end. Returns its exit status, or -1 if a signal ended it.
    int wait();

private:
    pid_t pid_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace LaburnumFlow::Agent
