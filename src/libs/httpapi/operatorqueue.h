#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace LaburnumFlow::HttpApi::Internal {

/// Runs operators' calls one after the other on a thread named "operator", since they block on the store.
class OperatorQueue
{
public:
    OperatorQueue();
    ~OperatorQueue();
    OperatorQueue(const OperatorQueue &) = delete;
    OperatorQueue &operator=(const OperatorQueue &) = delete;

    /// Returns false if maxOperatorQueue calls wait already.
    bool push(std::function<void()> call);

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> calls_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace LaburnumFlow::HttpApi::Internal
