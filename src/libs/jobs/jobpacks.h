#pragma once

#include "job.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace LaburnumFlow::Jobs {

/// Which key of the store holds the latest record of each job that is not final. A key holds the records of many jobs,
/// so that a transaction is not bound by its number of entries, and is removed once all its jobs are final or have been
/// written anew elsewhere.
class JobPacks
{
public:
    /// The job's latest record stands under the key from now on.
    void put(JobId job, const std::string &key, std::int64_t nowMs);

    void finish(JobId job);

    /// A key without jobs of a former owner.
    void addEmptyKey(std::string key);

    /// Keys that can be removed, each once.
    std::vector<std::string> takeEmptyKeys(std::size_t maxCount);

    /// Jobs under keys that were first written before the given time. Their final state would be removed before their
    /// key if they stayed there.
    std::vector<JobId> jobsWrittenBefore(std::int64_t ms) const;

private:
    struct Pack {
        std::int64_t writtenMs = 0;
        std::set<JobId> jobs;
    };

    void removeFromPack(JobId job);

    std::map<std::string, Pack> packs_;
    std::unordered_map<JobId, std::string> keyByJob_;
    std::deque<std::string> emptyKeys_;
};

} // namespace LaburnumFlow::Jobs
