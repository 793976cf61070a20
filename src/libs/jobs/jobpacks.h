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

/// Tracks which key of the store holds the latest record of each unfinished job. One key holds the records of many jobs, as the store limits the number of
/// entries per transaction. A key is removed once all its jobs are final or have been rewritten under another key.
class JobPacks
{
public:
    /// Sets the key that holds the job's latest record.
    void put(JobId job, const std::string &key, std::int64_t nowMs);

    void finish(JobId job);

    /// Adds a key of a former owner that holds no unfinished job and can be removed.
    void addEmptyKey(std::string key);

    /// Returns up to \a maxCount keys that can be removed, each once.
    std::vector<std::string> takeEmptyKeys(std::size_t maxCount);

    /// Returns the jobs under keys that were first written before the given Unix time in milliseconds. If they stayed there, the final states of finished jobs
    /// might be removed before the key that still holds their records.
    std::vector<JobId> jobsWrittenBefore(std::int64_t ms) const;

    /// Returns whether a key below the given one, which holds older records, is still in the store or is not removed yet.
    bool hasKeyBelow(const std::string &key) const;

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
