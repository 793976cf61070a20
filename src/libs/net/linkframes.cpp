#include "linkframes.h"

#include "networkconstants.h"

#include "protocol/protocolconstants.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace LaburnumFlow::Net::Internal {

namespace {

constexpr std::size_t headerBytes = 4;

std::size_t parseLength(std::span<const std::uint8_t> header)
{
    std::size_t length = 0;
    for (const std::uint8_t byte : header.first(headerBytes)) {
        length = (length << 8U) | byte;
    }
    return length;
}

std::array<std::uint8_t, headerBytes> makeHeader(std::size_t length)
{
    return {static_cast<std::uint8_t>(length >> 24U),
            static_cast<std::uint8_t>(length >> 16U),
            static_cast<std::uint8_t>(length >> 8U),
            static_cast<std::uint8_t>(length)};
}

} // namespace

void FrameReader::append(std::span<const std::uint8_t> bytes)
{
    buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
}

FrameReader::Result FrameReader::next(std::span<const std::uint8_t> &frame)
{
    const auto unread = std::span<const std::uint8_t>(buffer_).subspan(readOffset_);
    if (unread.size() < headerBytes) {
        return Result::Incomplete;
    }
    const std::size_t length = parseLength(unread);
    if (length > Protocol::maxFrameBytes) {
        return Result::Oversized;
    }
    if (unread.size() < headerBytes + length) {
        return Result::Incomplete;
    }
    frame = unread.subspan(headerBytes, length);
    readOffset_ += headerBytes + length;
    return Result::Frame;
}

void FrameReader::discardConsumed()
{
    buffer_.erase(buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(readOffset_));
    readOffset_ = 0;
    // Frees the capacity, as thousands of links would otherwise each keep memory for the largest burst they ever received.
    if (buffer_.empty()) {
        buffer_.shrink_to_fit();
    }
}

void SendQueue::push(std::span<const std::uint8_t> body)
{
    const auto header = makeHeader(body.size());
    const std::size_t size = header.size() + body.size();
    if (chunks_.empty() || chunks_.back().size() + size > chunkBytes) {
        chunks_.emplace_back().reserve(size);
    }
    std::vector<std::uint8_t> &chunk = chunks_.back();
    chunk.insert(chunk.end(), header.begin(), header.end());
    chunk.insert(chunk.end(), body.begin(), body.end());
    bytes_ += size;
}

SendQueue::Result SendQueue::writeTo(int fd)
{
    while (!chunks_.empty()) {
        std::array<iovec, maxChunksPerWrite> parts{};
        const std::size_t count = std::min(chunks_.size(), parts.size());
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t skip = i == 0 ? offset_ : 0;
            parts[i] = {chunks_[i].data() + skip, chunks_[i].size() - skip};
        }
        msghdr message{};
        message.msg_iov = parts.data();
        message.msg_iovlen = count;
        const ssize_t sent = sendmsg(fd, &message, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0) {
            return errno == EAGAIN ? Result::Blocked : Result::Broken;
        }
        dropSent(static_cast<std::size_t>(sent));
    }
    return Result::Empty;
}

void SendQueue::dropSent(std::size_t size)
{
    bytes_ -= size;
    offset_ += size;
    while (!chunks_.empty() && offset_ >= chunks_.front().size()) {
        offset_ -= chunks_.front().size();
        chunks_.pop_front();
    }
}

} // namespace LaburnumFlow::Net::Internal
