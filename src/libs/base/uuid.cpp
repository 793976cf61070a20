#include "uuid.h"

namespace LaburnumFlow::Base {

namespace {

constexpr std::size_t textLength = 36;
constexpr std::string_view hexDigits = "0123456789abcdef";

bool isHyphenPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<std::uint8_t> hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return static_cast<std::uint8_t>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<std::uint8_t>(c - 'a' + 10);
    }
    if (c >= 'A' && c <= 'F') {
        return static_cast<std::uint8_t>(c - 'A' + 10);
    }
    return std::nullopt;
}

void putBigEndian(Uuid &id, std::size_t offset, std::size_t count, std::uint64_t value)
{
    for (std::size_t i = 0; i < count; ++i) {
        id.bytes[offset + i] = static_cast<std::uint8_t>(value >> (8U * (count - 1 - i)));
    }
}

} // namespace

Uuid makeUuidV7(WallTime time, std::uint64_t randomHigh, std::uint64_t randomLow)
{
    Uuid id;
    putBigEndian(id, 0, 6, static_cast<std::uint64_t>(time.count()));
    putBigEndian(id, 6, 2, 0x7000U | (randomHigh & 0x0FFFU));
    putBigEndian(id, 8, 8, 0x8000000000000000ULL | (randomLow & 0x3FFFFFFFFFFFFFFFULL));
    return id;
}

std::optional<Uuid> parseUuidV7(std::string_view text)
{
    if (text.size() != textLength) {
        return std::nullopt;
    }
    Uuid id;
    std::size_t nibble = 0;
    for (std::size_t i = 0; i < textLength; ++i) {
        if (isHyphenPosition(i)) {
            if (text[i] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const auto value = hexValue(text[i]);
        if (!value) {
            return std::nullopt;
        }
        std::uint8_t &byte = id.bytes[nibble / 2];
        byte = static_cast<std::uint8_t>((byte << 4U) | *value);
        ++nibble;
    }
    const bool version7 = (id.bytes[6] >> 4U) == 7;
    const bool rfcVariant = (id.bytes[8] >> 6U) == 2;
    if (!version7 || !rfcVariant) {
        return std::nullopt;
    }
    return id;
}

std::string toString(const Uuid &id)
{
    std::string text;
    text.reserve(textLength);
    for (const std::uint8_t byte : id.bytes) {
        if (isHyphenPosition(text.size())) {
            text.push_back('-');
        }
        text.push_back(hexDigits[byte >> 4U]);
        text.push_back(hexDigits[byte & 0x0FU]);
    }
    return text;
}

WallTime timeOf(const Uuid &id)
{
    std::int64_t millis = 0;
    for (std::size_t i = 0; i < 6; ++i) {
        millis = (millis << 8) | id.bytes[i];
    }
    return WallTime(millis);
}

} // namespace LaburnumFlow::Base
