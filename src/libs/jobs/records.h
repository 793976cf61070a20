#pragma once

#include "job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Records in the platform's store and their keys.
namespace LaburnumFlow::Jobs {

/// States who owns the jobs. Each commit rewrites it, so a commit that reaches the store late finds another revision and fails.
struct OwnerRecord {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; ///< Sequence number of the commit that wrote the record.
    std::string owner; ///< Name of the owning entry; empty after a graceful stop.
    std::uint64_t incarnation = 0;
    std::vector<std::string> agents; ///< Agents whose workers may run tasks. An agent is recorded before it gets its first task.

    bool operator==(const OwnerRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, sequence, owner, incarnation, agents);
    }
};

/// An entry that may confirm an owner which the store doesn't confirm.
struct Confirmer {
    std::string name;
    Base::Endpoint peers; ///< Address to which entries connect.

    bool operator==(const Confirmer &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, peers);
    }
};

using ConfirmerSet = std::vector<Confirmer>;

/// Names the entries of which most must confirm the owner while the store doesn't. A claim replaces it together with the owner record. The
/// successor waits until too few of them are left to confirm the former owner.
struct ConfirmerRecord {
    std::uint64_t epoch = 0; ///< Of the owner.
    ConfirmerSet confirmers; ///< Sorted by name; the owner is one of them. Empty if not known.
    std::vector<ConfirmerSet> former; ///< Of former owners that may still be confirmed.

    bool operator==(const ConfirmerRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, confirmers, former);
    }
};

/// A job that isn't final.
struct JobRecord {
    JobId id = 0;
    QueueRules rules;
    JobSpec spec;
    std::vector<std::uint8_t> done; ///< One element per task, in the order of the steps; 1 if the task is done.
    std::vector<std::uint8_t> failures; ///< Number of failures of each task.
    std::vector<std::string> checkpoints; ///< One element per task; empty if no task of the job has a checkpoint.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, rules, spec, done, failures, checkpoints);
    }
};

/// A repeated job that doesn't hold just its first occurrences in order. Earlier versions can't read it, and would take its tasks for those of others.
struct RepeatedJobRecord {
    JobRecord job; ///< Its elements per task are those of the occurrences below, in their order.
    std::uint32_t nextOccurrence = 0; ///< First occurrence that hasn't begun.
    std::vector<std::uint32_t> occurrences; ///< Occurrences that have begun; those that are neither here nor due to begin are done.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job, nextOccurrence, occurrences);
    }
};

/// A run that ended failed and counts as an attempt.
struct FailedRun {
    std::uint32_t task = 0; ///< Position of the task in the order of the steps; of a gang, that of its first member.
    std::uint32_t run = 0;

    auto operator<=>(const FailedRun &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(task, run);
    }
};

/// The runs that JobRecord::failures counts. It is a record of its own, as earlier versions can't read a longer JobRecord.
struct FailedRunsRecord {
    JobId id = 0;
    std::vector<FailedRun> runs;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, runs);
    }
};

/// The records of several jobs under one key.
struct JobPack {
    std::int64_t writtenMs = 0; ///< Unix time in milliseconds.
    std::vector<std::string> records; ///< Encoded as JobRecord or RepeatedJobRecord, followed by the FailedRunsRecord if the job has any.

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

/// The final states of several jobs under one key.
struct FinishedSegment {
    std::int64_t newestMs = 0; ///< Unix time in milliseconds at which the last state was added.
    std::vector<FinishedJob> jobs;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(newestMs, jobs);
    }
};

/// An entry that is up. The store removes the key when the entry's lease expires.
struct EntryRecord {
    std::string name;
    std::uint64_t incarnation = 0;
    Base::Endpoint peers; ///< Address to which entries and agents connect.
    std::uint32_t processorPercent = 0; ///< Processor time that the entry may use, in percent of a core.
    std::uint32_t linkKbps = 0; ///< Bandwidth of the entry's network link in kbit/s; 0 if unknown.

    bool operator==(const EntryRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation, peers, processorPercent, linkKbps);
    }
};

constexpr std::string_view clusterPrefix = "lf/cluster/"; ///< Covers the owner record, the confirmer record and all entry records.
constexpr std::string_view ownerKey = "lf/cluster/owner";
constexpr std::string_view confirmersKey = "lf/cluster/confirmers";
constexpr std::string_view entryPrefix = "lf/cluster/entry/";
constexpr std::string_view jobPrefix = "lf/job/";
constexpr std::string_view finishedPrefix = "lf/finished/";

std::string packKey(std::uint64_t epoch, std::uint64_t number); ///< Later packs have greater keys.
std::string finishedKey(std::uint64_t epoch, std::uint64_t segment);
std::string entryKey(std::string_view name);

std::string encodeRecord(const OwnerRecord &record);
std::string encodeRecord(const ConfirmerRecord &record);
std::string encodeRecord(const JobRecord &record);
std::string encodeRecord(const RepeatedJobRecord &record);
std::string encodeRecord(const FailedRunsRecord &record);
std::string encodeRecord(const JobPack &record);
std::string encodeRecord(const FinishedSegment &record);
std::string encodeRecord(const EntryRecord &record);

/// Each of these returns nothing if the bytes aren't a valid record of the type.
std::optional<OwnerRecord> decodeOwnerRecord(std::string_view bytes);
std::optional<ConfirmerRecord> decodeConfirmerRecord(std::string_view bytes);
std::optional<JobRecord> decodeJobRecord(std::string_view bytes);
std::optional<RepeatedJobRecord> decodeRepeatedJobRecord(std::string_view bytes);
std::optional<FailedRunsRecord> decodeFailedRunsRecord(std::string_view bytes);
std::optional<JobPack> decodeJobPack(std::string_view bytes);
std::optional<FinishedSegment> decodeFinishedSegment(std::string_view bytes);
std::optional<EntryRecord> decodeEntryRecord(std::string_view bytes);

} // namespace LaburnumFlow::Jobs
