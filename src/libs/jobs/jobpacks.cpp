#include "jobpacks.h"

#include <utility>

namespace LaburnumFlow::Jobs {

void JobPacks::put(JobId job, const std::string &key, std::int64_t nowMs)
{
    const auto found = keyOf_.find(job);
    if (found != keyOf_.end() && found->second == key) {
        return;
    }
    leave(job);
    keyOf_[job] = key;
    Pack &pack = packs_[key];
    if (pack.jobs.empty()) {
        pack.writtenMs = nowMs;
        // The key may have been emptied by a job that ended in the same commit.
        std::erase(emptied_, key);
    }
    pack.jobs.insert(job);
}

void JobPacks::finish(JobId job)
{
    leave(job);
}

void JobPacks::leave(JobId job)
{
    const auto found = keyOf_.find(job);
    if (found == keyOf_.end()) {
        return;
    }
    const auto pack = packs_.find(found->second);
    pack->second.jobs.erase(job);
    if (pack->second.jobs.empty()) {
        emptied_.push_back(pack->first);
        packs_.erase(pack);
    }
    keyOf_.erase(found);
}

void JobPacks::addEmpty(std::string key)
{
    emptied_.push_back(std::move(key));
}

std::vector<std::string> JobPacks::takeEmptied(std::size_t most)
{
    std::vector<std::string> keys;
    while (!emptied_.empty() && keys.size() < most) {
        keys.push_back(std::move(emptied_.front()));
        emptied_.pop_front();
    }
    return keys;
}

std::vector<JobId> JobPacks::jobsWrittenBefore(std::int64_t ms) const
{
    std::vector<JobId> jobs;
    for (const auto &[key, pack] : packs_) {
        if (pack.writtenMs < ms) {
            jobs.insert(jobs.end(), pack.jobs.begin(), pack.jobs.end());
        }
    }
    return jobs;
}

} // namespace LaburnumFlow::Jobs
