#include "order.h"

namespace LaburnumFlow::Dispatch::Internal {

std::string orderQueueKey(const Submission &submission)
{
    return submission.team + "/" + submission.orderingKey;
}

bool enterOrderQueue(DispatchState &state, const Submission &submission, Base::TaskKey key)
{
    OrderQueue &queue = state.orderQueues[orderQueueKey(submission)];
    queue.tasks.push_back(key);
    return queue.tasks.front() == key;
}

std::optional<Base::TaskKey> leaveOrderQueue(DispatchState &state, const std::string &orderKey, Base::TaskKey key)
{
    const auto found = state.orderQueues.find(orderKey);
    if (found == state.orderQueues.end()) {
        return std::nullopt;
    }
    OrderQueue &queue = found->second;
    if (queue.tasks.front() != key) {
        queue.endedEarly.insert(key);
        return std::nullopt;
    }
    queue.tasks.pop_front();
    while (!queue.tasks.empty() && queue.endedEarly.erase(queue.tasks.front()) > 0) {
        queue.tasks.pop_front();
    }
    if (queue.tasks.empty()) {
        state.orderQueues.erase(found);
        return std::nullopt;
    }
    return queue.tasks.front();
}

bool isBlockedByRecovered(const DispatchState &state, const Submission &submission)
{
    if (state.recoveredOrderedTasks.empty()) {
        return false;
    }
    const auto found = state.recoveredOrderedTasks.find({submission.team, submission.partition});
    if (found == state.recoveredOrderedTasks.end()) {
        return false;
    }
    for (const Base::TaskKey &key : found->second) {
        if (key.submission != submission.id) {
            return true;
        }
    }
    return false;
}

} // namespace LaburnumFlow::Dispatch::Internal
