#include "signals.h"

#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

namespace LaburnumFlow::Node {

Signals::Signals(EventLoop::Loop &loop) : loop_(loop)
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    fd_ = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    loop_.watch(fd_, EPOLLIN, [this](std::uint32_t /*events*/) { read(); });
}

Signals::~Signals()
{
    loop_.unwatch(fd_);
    ::close(fd_);
}

void Signals::read() const
{
    signalfd_siginfo info{};
    while (::read(fd_, &info, sizeof(info)) == sizeof(info)) {
        const auto &callback = info.ssi_signo == SIGHUP ? onReload : onStop;
        if (callback) {
            callback();
        }
    }
}

} // namespace LaburnumFlow::Node
