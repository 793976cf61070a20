#pragma once

#include <map>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace SystemTest {

/// A program under test or a stand-in, started as a child. Ended by SIGKILL on destruction.
class ChildProcess
{
public:
    /// Starts LABURNUMFLOW_BIN/program and waits for its first line, of the form "name=value name=value".
    /// Its standard error goes to the file named by logPath. Throws std::runtime_error if no line comes.
    ChildProcess(std::string_view program, const std::vector<std::string> &arguments, const std::string &logPath);
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// A value of the first line, such as the port that the kernel chose.
    std::string value(std::string_view name) const;

    void signal(int number) const;

    /// Stops the process as a paused VM does; returns once all its threads stand still.
    void freeze() const;

    /// Ends the process at once, as the loss of its VM does.
    void kill();

    /// Waits for the process to exit by itself; returns its exit code, or -1 if it does not within the limit.
    int waitExit(int limitSeconds);

    bool running();

private:
    void readFirstLine(int fd);

    pid_t pid_ = -1;
    int exitCode_ = -1;
    std::map<std::string, std::string, std::less<>> values_;
};

} // namespace SystemTest
