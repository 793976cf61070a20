#pragma once

#include "tabledelta.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace LaburnumFlow::Rules {

/// Returns successive changes in compressed form.
std::vector<std::uint8_t> encodeUpdate(std::span<const TableDelta> deltas);

/// Returns nothing if the bytes aren't the result of encodeUpdate().
std::optional<std::vector<TableDelta>> decodeUpdate(std::span<const std::uint8_t> bytes);

} // namespace LaburnumFlow::Rules
