#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace LaburnumFlow::Net::Internal {

/// Splits a byte stream into frames. A frame is a 4-byte big-endian length, followed by that many bytes.
class FrameReader
{
public:
    void append(std::span<const std::uint8_t> bytes);

    enum class Result : std::uint8_t {
        Frame,
        Incomplete,
        Oversized, ///< Length exceeds Protocol::maxFrameBytes
    };

    /// Extracts the next frame. If the result is Frame, frame is set and stays valid until append() or discardConsumed() is called.
    Result next(std::span<const std::uint8_t> &frame);

    /// Frees the memory of the frames that next() has returned.
    void discardConsumed();

private:
    std::vector<std::uint8_t> buffer_;
    std::size_t readOffset_ = 0; ///< Start of the unread bytes in buffer_
};

/// Queues the unsent frames of a link. Small frames are joined into chunks, so that one system call writes many of them.
class SendQueue
{
public:
    /// Appends a frame with this body.
    void push(std::span<const std::uint8_t> body);

    enum class Result : std::uint8_t {
        Empty,
        Blocked, ///< Socket's send buffer is full
        Broken,
    };

    /// Writes until the queue is empty or the socket's send buffer is full.
    Result writeTo(int fd);

    /// Returns the number of unsent bytes, headers of the frames included.
    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    void dropSent(std::size_t size);

    std::deque<std::vector<std::uint8_t>> chunks_;
    std::size_t offset_ = 0; ///< Bytes of the first chunk that have been sent
    std::size_t bytes_ = 0; ///< Unsent bytes of all chunks
};

} // namespace LaburnumFlow::Net::Internal
