#include "jobpacks.h"

#include <algorithm>
#include <utility>

namespace LaburnumFlow::Jobs {

void JobPacks::put(JobId job, const std::string &key, std::int64_t nowMs)
{
    const auto found = keyByJob_.find(job);
    if (found != keyByJob_.end() && found->second == key) {
        return;
    }
    removeFromPack(job);
    keyByJob_[job] = key;
    Pack &pack = packs_[key];
    if (pack.jobs.empty()) {
        pack.writtenMs = nowMs;
        // A job that ended in the same commit may have marked the key as empty.
        std::erase(emptyKeys_, key);
    }
    pack.jobs.insert(job);
}

void JobPacks::finish(JobId job)
{
    removeFromPack(job);
}

void JobPacks::removeFromPack(JobId job)
{
    const auto found = keyByJob_.find(job);
    if (found == keyByJob_.end()) {
        return;
    }
    const auto pack = packs_.find(found->second);
    pack->second.jobs.erase(job);
    if (pack->second.jobs.empty()) {
        emptyKeys_.push_back(pack->first);
        packs_.erase(pack);
    }
    keyByJob_.erase(found);
}

void JobPacks::addEmptyKey(std::string key)
{
    emptyKeys_.push_back(std::move(key));
}

std::vector<std::string> JobPacks::takeEmptyKeys(std::size_t maxCount)
{
    std::vector<std::string> keys;
    while (!emptyKeys_.empty() && keys.size() < maxCount) {
        keys.push_back(std::move(emptyKeys_.front()));
        emptyKeys_.pop_front();
    }
    return keys;
}

bool JobPacks::hasKeyBelow(const std::string &key) const
{
    const auto isBelow = [&key](const std::string &other) { return other < key; };
    return (!packs_.empty() && isBelow(packs_.begin()->first)) || std::any_of(emptyKeys_.begin(), emptyKeys_.end(), isBelow);
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
