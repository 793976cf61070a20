#include "rawpeer.h"

#include "recordinghandler.h"

#include "protocol/codec.h"

#include <cppunit/TestAssert.h>
#include <sys/time.h>

#include <array>
#include <span>
#include <utility>

namespace LaburnumFlow::NetTest {

using Net::Internal::FileDescriptor;
using Net::Internal::FrameReader;

namespace {

Net::Internal::Address loopback(std::uint16_t port)
{
    return *Net::Internal::toAddress({"127.0.0.1", port});
}

FileDescriptor makeSocket()
{
    FileDescriptor socketFd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    CPPUNIT_ASSERT(socketFd.valid());
    // With its default buffer size, the kernel may accept tens of megabytes from a sender before the test reads any.
    const int bufferBytes = 128 * 1024;
    setsockopt(socketFd.get(), SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
    return socketFd;
}

void setReceiveTimeout(int fd)
{
    const timeval limit{testTimeout.count(), 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

} // namespace

RawConnection::RawConnection(FileDescriptor socketFd) : socket_(std::move(socketFd))
{
    setReceiveTimeout(socket_.get());
}

RawConnection RawConnection::to(std::uint16_t port)
{
    FileDescriptor socketFd = makeSocket();
    const auto address = loopback(port);
    CPPUNIT_ASSERT_EQUAL(0, ::connect(socketFd.get(), address.get(), address.length));
    return RawConnection(std::move(socketFd));
}

void RawConnection::sendBytes(const std::vector<std::uint8_t> &bytes) const
{
    const auto sent = ::send(socket_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()), sent);
}

void RawConnection::sendMessage(const Protocol::LinkMessage &message) const
{
    sendBytes(makeFrame(Protocol::encode(message)));
}

void RawConnection::sendHello(const std::string &name, std::uint64_t incarnation) const
{
    sendMessage(Protocol::LinkHello{{name, incarnation}, false});
}

std::optional<Protocol::LinkMessage> RawConnection::receive()
{
    std::span<const std::uint8_t> frame;
    while (reader_.next(frame) != FrameReader::Result::Frame) {
        reader_.discardConsumed();
        std::array<std::uint8_t, 4096> buffer{};
        const ssize_t size = ::recv(socket_.get(), buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return std::nullopt;
        }
        reader_.append(std::span(buffer).first(static_cast<std::size_t>(size)));
    }
    auto message = Protocol::decodeLinkMessage(frame);
    CPPUNIT_ASSERT(message);
    return std::move(*message);
}

std::optional<std::uint64_t> RawConnection::receiveNumber()
{
    while (const auto message = receive()) {
        const auto *peerMessage = std::get_if<Protocol::PeerMessage>(&*message);
        if (peerMessage != nullptr) {
            return std::get<Protocol::HandoverAck>(*peerMessage).epoch;
        }
    }
    return std::nullopt;
}

bool RawConnection::waitForClose()
{
    std::array<std::uint8_t, 65'536> buffer{};
    ssize_t size = ::recv(socket_.get(), buffer.data(), buffer.size(), 0);
    while (size > 0) {
        bytesBeforeClose += static_cast<std::size_t>(size);
        size = ::recv(socket_.get(), buffer.data(), buffer.size(), 0);
    }
    return size == 0 || errno == ECONNRESET;
}

RawListener::RawListener() : socket_(makeSocket())
{
    auto address = loopback(0);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(socket_.get(), address.get(), address.length));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(socket_.get(), 16));
    getsockname(socket_.get(), address.get(), &address.length);
    port = Net::Internal::toEndpoint(address).port;
    setReceiveTimeout(socket_.get());
}

RawConnection RawListener::accept() const
{
    FileDescriptor socketFd(::accept(socket_.get(), nullptr, nullptr));
    CPPUNIT_ASSERT(socketFd.valid());
    return RawConnection(std::move(socketFd));
}

std::vector<std::uint8_t> makeFrame(const std::vector<std::uint8_t> &body)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(4 + body.size());
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        bytes.push_back(static_cast<std::uint8_t>(body.size() >> shift));
    }
    bytes.insert(bytes.end(), body.begin(), body.end());
    return bytes;
}

} // namespace LaburnumFlow::NetTest
