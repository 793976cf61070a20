#pragma once

#include "job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What the platform's store holds, and under which keys.
namespace LaburnumFlow::Jobs {

/// Who owns the jobs. Each commit rewrites it, so that a commit that is carried out late finds another revision.
struct OwnerRecord {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; ///< of the commit that wrote it
    std::string owner; ///< name of the entry; empty after a graceful stop
    std::uint64_t incarnation = 0;
    std::vector<std::string> agents; ///< whose workers may run tasks; an agent is recorded before it gets its first task

    bool operator==(const OwnerRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, sequence, owner, incarnation, agents);
    }
};

/// A job that is not final.
struct JobRecord {
    JobId id = 0;
    QueueRules rules;
    JobSpec spec;
    std::vector<std::uint8_t> done; ///< one per task, in the order of steps; 1 if the task has ended as done
    std::vector<std::uint8_t> failures; ///< one per task
    std::vector<std::string> checkpoints; ///< one per task; empty if no task of the job has one

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, rules, spec, done, failures, checkpoints);
    }
};

/// Records of several jobs under one key, encoded as JobRecord.
struct JobPack {
    std::int64_t writtenMs = 0; ///< Unix time
    std::vector<std::string> records;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(writtenMs, records);
    }
};

struct FinishedJob {
    JobId id = 0;
    JobState state = JobState::Completed;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, state);
    }
};

/// Several final states under one key.
struct FinishedSegment {
    std::int64_t newestMs = 0; ///< Unix time at which the last one was added
    std::vector<FinishedJob> jobs;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(newestMs, jobs);
    }
};

/// An entry that is up; its key is removed with its lease.
struct EntryRecord {
    std::string name;
    std::uint64_t incarnation = 0;
    Base::Endpoint peers; ///< where entries and agents connect to
    std::uint32_t processorPercent = 0; ///< share of a core that the entry may use

    bool operator==(const EntryRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation, peers, processorPercent);
    }
};

constexpr std::string_view clusterPrefix = "lf/cluster/"; ///< the owner and all entries
constexpr std::string_view ownerKey = "lf/cluster/owner";
constexpr std::string_view entryPrefix = "lf/cluster/entry/";
constexpr std::string_view jobPrefix = "lf/job/";
constexpr std::string_view finishedPrefix = "lf/finished/";

std::string packKey(std::uint64_t epoch, std::uint64_t number); ///< keys of later packs are greater
std::string finishedKey(std::uint64_t epoch, std::uint64_t segment);
std::string entryKey(std::string_view name);

std::string encodeRecord(const OwnerRecord &record);
std::string encodeRecord(const JobRecord &record);
std::string encodeRecord(const JobPack &record);
std::string encodeRecord(const FinishedSegment &record);
std::string encodeRecord(const EntryRecord &record);

/// Nothing if the bytes are no such record.
std::optional<OwnerRecord> decodeOwnerRecord(std::string_view bytes);
std::optional<JobRecord> decodeJobRecord(std::string_view bytes);
std::optional<JobPack> decodeJobPack(std::string_view bytes);
std::optional<FinishedSegment> decodeFinishedSegment(std::string_view bytes);
std::optional<EntryRecord> decodeEntryRecord(std::string_view bytes);

} // namespace LaburnumFlow::Jobs
