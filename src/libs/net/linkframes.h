#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace LaburnumFlow::Net::Internal {

/// Cuts a byte stream into frames: a 4-byte big-endian length, then that many bytes.
class FrameReader
{
public:
    void append(std::span<const std::uint8_t> bytes);

    enum class Result : std::uint8_t {
        Frame,
        Incomplete,
        Oversized, ///< the length exceeds maxFrameBytes
    };

    /// On Frame sets frame, which stays valid until the next call of append() or discardConsumed().
    Result next(std::span<const std::uint8_t> &frame);

    /// Releases the frames that were read.
    void discardConsumed();

private:
    std::vector<std::uint8_t> buffer_;
    std::size_t readOffset_ = 0; ///< of the unread bytes
};

/// Unsent frames of a link, joined into chunks so that one write carries many of them.
class SendQueue
{
public:
    void push(std::span<const std::uint8_t> body);

    enum class Result : std::uint8_t {
        Empty,
        Blocked, ///< the socket's buffer is full
        Broken,
    };

    /// Writes as much as the socket takes.
    Result writeTo(int fd);

    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    void dropSent(std::size_t size);

    std::deque<std::vector<std::uint8_t>> chunks_;
    std::size_t offset_ = 0; ///< sent bytes of the first chunk
    std::size_t bytes_ = 0;
};

} // namespace LaburnumFlow::Net::Internal
