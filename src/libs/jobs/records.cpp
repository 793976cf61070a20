#include "records.h"

#include "jobtext.h"
#include "messages.h"

#include "protocol/checkedcodec.h"

namespace LaburnumFlow::Jobs {

namespace {

template<class Record>
std::string encodeText(const Record &record)
{
    const std::vector<std::uint8_t> bytes = Protocol::encodeValue(record);
    return {bytes.begin(), bytes.end()};
}

template<class Record>
std::optional<Record> decodeText(std::span<const std::uint8_t> bytes)
{
    return boost::leaf::try_handle_all([&]() -> boost::leaf::result<std::optional<Record>> { return Protocol::decodeValue<Record>(bytes); },
                                       [](const Protocol::MalformedMessage &) -> std::optional<Record> { return std::nullopt; },
                                       []() -> std::optional<Record> { return std::nullopt; });
}

template<class Record>
std::optional<Record> decodeText(std::string_view bytes)
{
    return decodeText<Record>(std::span(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size()));
}

} // namespace

std::string packKey(std::uint64_t epoch, std::uint64_t number)
{
    return std::string(jobPrefix) + formatId(epoch) + '-' + formatId(number);
}

std::string finishedKey(std::uint64_t epoch, std::uint64_t segment)
{
    return std::string(finishedPrefix) + formatId(epoch) + '-' + formatId(segment);
}

std::string entryKey(std::string_view name)
{
    return std::string(entryPrefix) + std::string(name);
}

std::string encodeRecord(const OwnerRecord &record)
{
    return encodeText(record);
}

std::string encodeRecord(const ConfirmerRecord &record)
{
    return encodeText(record);
}

std::string encodeRecord(const JobRecord &record)
{
    return encodeText(record);
}

std::string encodeRecord(const RepeatedJobRecord &record)
{
    return encodeText(record);
}

std::string encodeRecord(const FailedRunsRecord &record)
{
    return encodeText(record);
}

std::string encodeRecord(const JobPack &record)
{
    return encodeText(record);
}

std::string encodeRecord(const FinishedSegment &record)
{
    return encodeText(record);
}

std::string encodeRecord(const EntryRecord &record)
{
    return encodeText(record);
}

std::optional<OwnerRecord> decodeOwnerRecord(std::string_view bytes)
{
    return decodeText<OwnerRecord>(bytes);
}

std::optional<ConfirmerRecord> decodeConfirmerRecord(std::string_view bytes)
{
    return decodeText<ConfirmerRecord>(bytes);
}

std::optional<JobRecord> decodeJobRecord(std::string_view bytes)
{
    return decodeText<JobRecord>(bytes);
}

std::optional<RepeatedJobRecord> decodeRepeatedJobRecord(std::string_view bytes)
{
    return decodeText<RepeatedJobRecord>(bytes);
}

std::optional<FailedRunsRecord> decodeFailedRunsRecord(std::string_view bytes)
{
    return decodeText<FailedRunsRecord>(bytes);
}

std::optional<JobPack> decodeJobPack(std::string_view bytes)
{
    return decodeText<JobPack>(bytes);
}

std::optional<FinishedSegment> decodeFinishedSegment(std::string_view bytes)
{
    return decodeText<FinishedSegment>(bytes);
}

std::optional<EntryRecord> decodeEntryRecord(std::string_view bytes)
{
    return decodeText<EntryRecord>(bytes);
}

std::vector<std::uint8_t> encodeMessage(const LinkMessage &message)
{
    return Protocol::encodeValue(message);
}

std::optional<LinkMessage> decodeMessage(std::span<const std::uint8_t> bytes)
{
    return decodeText<LinkMessage>(bytes);
}

} // namespace LaburnumFlow::Jobs
