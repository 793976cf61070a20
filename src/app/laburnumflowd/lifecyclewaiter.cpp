#include "lifecyclewaiter.h"

#include "daemonconstants.h"

#include "runtime/logline.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <optional>

namespace LaburnumFlow::Daemon {

namespace {

using Clock = std::chrono::steady_clock;

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

int toPollTimeout(std::optional<Clock::time_point> limit)
{
    if (!limit) {
        return -1;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(*limit - Clock::now());
    return static_cast<int>(std::max<std::chrono::milliseconds::rep>(left.count(), 0));
}

} // namespace

LifecycleWaiter::LifecycleWaiter() : wakeFd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signalFd_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    // Libraries write to sockets that the other side may have closed.
    std::signal(SIGPIPE, SIG_IGN);
}

LifecycleWaiter::~LifecycleWaiter()
{
    close(signalFd_);
    close(wakeFd_);
}

Runtime::Lifecycle LifecycleWaiter::callbacks()
{
    return {[this] {
                draining_ = true;
                wake();
            },
            [this] {
                finished_ = true;
                wake();
            }};
}

void LifecycleWaiter::wake() const
{
    eventfd_write(wakeFd_, 1);
}

int LifecycleWaiter::wait(const std::function<void()> &requestDrain)
{
    bool signalled = false;
    std::optional<Clock::time_point> limit;
    while (!finished_) {
        std::array<pollfd, 2> fds{{{signalFd_, POLLIN, 0}, {wakeFd_, POLLIN, 0}}};
        poll(fds.data(), fds.size(), toPollTimeout(limit));
        eventfd_t ignored = 0;
        eventfd_read(wakeFd_, &ignored);
        signalfd_siginfo info{};
        if (read(signalFd_, &info, sizeof(info)) == sizeof(info)) {
            if (signalled) {
                Runtime::writeLogLine("drain-abandoned", {});
                return EXIT_FAILURE;
            }
            signalled = true;
            requestDrain();
        }
        if ((signalled || draining_) && !limit) {
            limit = Clock::now() + drainLimit;
        }
        if (limit && Clock::now() >= *limit && !finished_) {
            Runtime::writeLogLine("drain-timed-out", {});
            return EXIT_FAILURE;
        }
    }
    return EXIT_SUCCESS;
}

} // namespace LaburnumFlow::Daemon
