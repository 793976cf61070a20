#include "childprocess.h"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <stdexcept>

namespace LaburnumFlow::Agent {

namespace {

std::uint16_t readPort(int fd)
{
    std::string line;
    for (char c = 0; ::read(fd, &c, 1) == 1 && c != '\n';) {
        line.push_back(c);
    }
    if (!line.starts_with("port=")) {
        throw std::runtime_error("child process: expected a first line of the form port=N on standard output, found \"" + line + "\"");
    }
    return static_cast<std::uint16_t>(std::stoi(line.substr(5)));
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
{
    const char *folder = std::getenv("LABURNUMFLOW_BIN");
    std::vector<std::string> words{std::string(folder == nullptr ? "." : folder) + "/" + program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(words.size() + 1);
    for (std::string &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    int ends[2];
    if (::pipe(ends) != 0) {
        throw std::runtime_error("child process: pipe() failed");
    }
    pid_ = ::fork();
    if (pid_ == 0) {
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[0]);
        ::close(ends[1]);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    ::close(ends[1]);
    port_ = readPort(ends[0]);
    ::close(ends[0]);
}

ChildProcess::~ChildProcess()
{
    if (pid_ > 0) {
        signal(SIGKILL);
        wait();
    }
}

void ChildProcess::signal(int number) const
{
    ::kill(pid_, number);
}

int ChildProcess::wait()
{
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace LaburnumFlow::Agent
