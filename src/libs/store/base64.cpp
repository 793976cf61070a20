#include "base64.h"

#include <array>
#include <cstdint>

namespace LaburnumFlow::Store {

namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t invalid = 0xFF;

constexpr std::array<std::uint8_t, 256> makeDecodeTable()
{
    std::array<std::uint8_t, 256> table{};
    table.fill(invalid);
    for (std::size_t i = 0; i < alphabet.size(); ++i) {
        table[static_cast<unsigned char>(alphabet[i])] = static_cast<std::uint8_t>(i);
    }
    return table;
}

constexpr auto decodeTable = makeDecodeTable();

std::size_t paddingLength(std::string_view text)
{
    return text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::string_view group = bytes.substr(i, 3);
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = (bits << 8U) | (k < group.size() ? static_cast<unsigned char>(group[k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text.push_back(k <= group.size() ? alphabet[(bits >> (18U - 6U * k)) & 0x3FU] : '=');
        }
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(0, text.size() - paddingLength(text));
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    std::uint32_t bits = 0;
    unsigned int pendingBits = 0;
    for (const char digit : digits) {
        const std::uint8_t value = decodeTable[static_cast<unsigned char>(digit)];
        if (value == invalid) {
            return std::nullopt;
        }
        bits = ((bits << 6U) | value) & 0xFFFFU;
        pendingBits += 6;
        if (pendingBits >= 8) {
            pendingBits -= 8;
            bytes.push_back(static_cast<char>((bits >> pendingBits) & 0xFFU));
        }
    }
    return bytes;
}

} // namespace LaburnumFlow::Store
