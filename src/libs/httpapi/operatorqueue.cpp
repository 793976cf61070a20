#include "operatorqueue.h"

#include "httpapiconstants.h"

#include <pthread.h>

#include <utility>

namespace LaburnumFlow::HttpApi::Internal {

OperatorQueue::OperatorQueue()
    : thread_([this] {
        pthread_setname_np(pthread_self(), "operator");
        run();
    })
{
}

OperatorQueue::~OperatorQueue()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

bool OperatorQueue::push(std::function<void()> call)
{
    const std::lock_guard lock(mutex_);
    if (calls_.size() >= maxOperatorQueue) {
        return false;
    }
    calls_.push_back(std::move(call));
    changed_.notify_one();
    return true;
}

void OperatorQueue::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return stopping_ || !calls_.empty(); });
        if (calls_.empty()) {
            return;
        }
        const std::function<void()> call = std::move(calls_.front());
        calls_.pop_front();
        lock.unlock();
        call();
        lock.lock();
    }
}

} // namespace LaburnumFlow::HttpApi::Internal
