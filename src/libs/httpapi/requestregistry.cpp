#include "requestregistry.h"

#include <utility>

namespace LaburnumFlow::HttpApi::Internal {

Events::RequestId RequestRegistry::begin()
{
    const std::lock_guard lock(mutex_);
    ++open_;
    return next_++;
}

void RequestRegistry::suspend(OpenRequest &request, MHD_Connection *connection)
{
    const std::lock_guard lock(mutex_);
    request.suspended = true;
    waiting_.emplace(request.id, Waiting{&request, connection});
    MHD_suspend_connection(connection);
}

bool RequestRegistry::answer(Events::RequestId id, Response response)
{
    const std::lock_guard lock(mutex_);
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) {
        return false;
    }
    found->second.request->response = std::move(response);
    MHD_resume_connection(found->second.connection);
    waiting_.erase(found);
    if (waiting_.empty()) {
        changed_.notify_all();
    }
    return true;
}

std::optional<Response> RequestRegistry::takeResponse(OpenRequest &request)
{
    const std::lock_guard lock(mutex_);
    return std::exchange(request.response, std::nullopt);
}

bool RequestRegistry::end(Events::RequestId id)
{
    const std::lock_guard lock(mutex_);
    --open_;
    changed_.notify_all();
    return waiting_.erase(id) > 0;
}

bool RequestRegistry::waitAnswered(std::chrono::steady_clock::duration limit)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, limit, [this] { return waiting_.empty(); });
}

bool RequestRegistry::waitEnded(std::chrono::steady_clock::duration limit)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, limit, [this] { return open_ == 0; });
}

void RequestRegistry::answerAll(const Response &response)
{
    const std::lock_guard lock(mutex_);
    for (auto &[id, waiting] : waiting_) {
        waiting.request->response = response;
        MHD_resume_connection(waiting.connection);
    }
    waiting_.clear();
    changed_.notify_all();
}

std::size_t RequestRegistry::waiting() const
{
    const std::lock_guard lock(mutex_);
    return waiting_.size();
}

} // namespace LaburnumFlow::HttpApi::Internal
