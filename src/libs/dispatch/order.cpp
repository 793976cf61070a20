#include "order.h"

namespace LaburnumFlow::Dispatch::Internal {

std::string orderKeyOf(const Submission &submission)
{
    return submission.team + "/" + submission.orderingKey;
}

bool enterOrder(DispatchState &state, const Submission &submission, Base::TaskKey key)
{
    OrderQueue &queue = state.orders[orderKeyOf(submission)];
    queue.tasks.push_back(key);
    return queue.tasks.front() == key;
}

std::optional<Base::TaskKey> leaveOrder(DispatchState &state, const std::string &orderKey, Base::TaskKey key)
{
    const auto found = state.orders.find(orderKey);
    if (found == state.orders.end()) {
        return std::nullopt;
    }
    OrderQueue &queue = found->second;
    if (queue.tasks.front() != key) {
        queue.left.insert(key);
        return std::nullopt;
    }
    queue.tasks.pop_front();
    while (!queue.tasks.empty() && queue.left.erase(queue.tasks.front()) > 0) {
        queue.tasks.pop_front();
    }
    if (queue.tasks.empty()) {
        state.orders.erase(found);
        return std::nullopt;
    }
    return queue.tasks.front();
}

bool blockedByRecovered(const DispatchState &state, const Submission &submission)
{
    if (state.recoveredOrder.empty()) {
        return false;
    }
    const auto found = state.recoveredOrder.find({submission.team, submission.partition});
    if (found == state.recoveredOrder.end()) {
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
