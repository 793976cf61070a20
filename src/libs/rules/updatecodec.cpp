#include "updatecodec.h"

#include "rulesconstants.h"

#include "protocol/checkedcodec.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <zstd.h>

namespace LaburnumFlow::Rules {

std::vector<std::uint8_t> encodeUpdate(std::span<const TableDelta> deltas)
{
    const std::vector<std::uint8_t> plain = Protocol::encodeValue(std::vector<TableDelta>(deltas.begin(), deltas.end()));
    std::vector<std::uint8_t> bytes(ZSTD_compressBound(plain.size()));
    const std::size_t size = ZSTD_compress(bytes.data(), bytes.size(), plain.data(), plain.size(), ZSTD_CLEVEL_DEFAULT);
    // Compression fails only without memory; peers refuse an empty update.
    bytes.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return bytes;
}

std::optional<std::vector<TableDelta>> decodeUpdate(std::span<const std::uint8_t> bytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maxUpdateBytes) {
        return std::nullopt;
    }
    std::vector<std::uint8_t> plain(size);
    if (ZSTD_decompress(plain.data(), plain.size(), bytes.data(), bytes.size()) != plain.size()) {
        return std::nullopt;
    }
    auto decoded = Protocol::decodeValue<std::vector<TableDelta>>(plain);
    return decoded ? std::optional(std::move(*decoded)) : std::nullopt;
}

} // namespace LaburnumFlow::Rules
