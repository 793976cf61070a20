#include "childprocess.h"

#include "waiting.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace SystemTest {

namespace {

constexpr int firstLineLimitMs = 30'000;

std::string programPath(std::string_view program)
{
    const char *folder = std::getenv("LABURNUMFLOW_BIN");
    return std::string(folder == nullptr ? "." : folder) + "/" + std::string(program);
}

[[noreturn]] void execute(const std::vector<std::string> &command, int output, const std::string &logPath)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDERR_FILENO);
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
}

bool isStopped(const std::filesystem::path &task)
{
    std::ifstream file(task / "stat");
    std::string text;
    std::getline(file, text);
    const std::size_t name = text.rfind(") ");
    return name != std::string::npos && text.compare(name + 2, 1, "T") == 0;
}

} // namespace

ChildProcess::ChildProcess(std::string_view program, const std::vector<std::string> &arguments, const std::string &logPath)
{
    std::vector<std::string> command{programPath(program)};
    command.insert(command.end(), arguments.begin(), arguments.end());
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
        throw std::runtime_error("pipe2 failed");
    }
    pid_ = fork();
    if (pid_ == 0) {
        execute(command, ends[1], logPath);
    }
    close(ends[1]);
    readFirstLine(ends[0]);
    close(ends[0]);
    if (values_.empty()) {
        kill();
        throw std::runtime_error(std::string(program) + " printed no address; see " + logPath);
    }
}

ChildProcess::~ChildProcess()
{
    kill();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept : pid_(std::exchange(other.pid_, -1)), exitCode_(other.exitCode_), values_(std::move(other.values_))
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    kill();
    pid_ = std::exchange(other.pid_, -1);
    exitCode_ = other.exitCode_;
    values_ = std::move(other.values_);
    return *this;
}

void ChildProcess::readFirstLine(int fd)
{
    std::string line;
    char c = 0;
    pollfd polled{fd, POLLIN, 0};
    while (poll(&polled, 1, firstLineLimitMs) > 0 && read(fd, &c, 1) == 1 && c != '\n') {
        line.push_back(c);
    }
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        const std::size_t equals = word.find('=');
        if (equals != std::string::npos) {
            values_[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
}

std::string ChildProcess::value(std::string_view name) const
{
    const auto found = values_.find(name);
    if (found == values_.end()) {
        throw std::runtime_error("the process printed no " + std::string(name));
    }
    return found->second;
}

void ChildProcess::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void ChildProcess::freeze() const
{
    signal(SIGSTOP);
    // The signal takes effect some time after kill() returns, on each thread.
    const bool frozen = waitFor(generousSeconds, [this] {
        const std::filesystem::directory_iterator tasks("/proc/" + std::to_string(pid_) + "/task");
        return std::all_of(begin(tasks), end(tasks), [](const std::filesystem::directory_entry &task) { return isStopped(task.path()); });
    });
    if (!frozen) {
        throw std::runtime_error("the process does not stop");
    }
}

void ChildProcess::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

bool ChildProcess::running()
{
    if (pid_ <= 0) {
        return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) {
        return true;
    }
    pid_ = -1;
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return false;
}

int ChildProcess::waitExit(int limitSeconds)
{
    const bool ended = waitFor(limitSeconds, [this] { return !running(); });
    return ended ? exitCode_ : -1;
}

} // namespace SystemTest
