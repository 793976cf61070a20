#include "resettingserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace LaburnumFlow::Testing {

namespace {

constexpr int backlog = 16;

/// A connection that is closed at the end of its scope.
class Connection
{
public:
    explicit Connection(int fd) : fd_(fd) { }

    ~Connection()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int fd() const
    {
        return fd_;
    }

    void reset()
    {
        const linger immediately{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        ::close(std::exchange(fd_, -1));
    }

private:
    int fd_;
};

std::size_t contentLength(std::string_view head)
{
    constexpr std::string_view name = "Content-Length: ";
    const std::size_t at = head.find(name);
    return at == std::string_view::npos ? 0 : std::stoul(std::string(head.substr(at + name.size())));
}

void writeAnswer(int connection, const AnswerCalls &answer)
{
    const std::string text = "HTTP/1.1 " + std::to_string(answer.status)
                             + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
    // A client that has closed the connection needs no answer.
    (void)::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
}

} // namespace

ResettingServer::ResettingServer(AfterReset afterReset) : afterReset_(std::move(afterReset))
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (::bind(listener_, reinterpret_cast<sockaddr *>(&address), length) != 0 || ::listen(listener_, backlog) != 0
        || ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length) != 0 || ::pipe(endPipe_) != 0) {
        throw std::runtime_error("no server for the test");
    }
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { serve(); });
}

ResettingServer::~ResettingServer()
{
    ::close(endPipe_[1]);
    thread_.join();
    ::close(endPipe_[0]);
    closeListener();
}

std::vector<std::string> ResettingServer::calls() const
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

void ResettingServer::serve()
{
    loseAnswer();
    std::visit([this](const auto &what) { handle(what); }, afterReset_);
}

void ResettingServer::loseAnswer()
{
    Connection connection(accept());
    if (!readCall(connection.fd())) {
        return;
    }
    writeAnswer(connection.fd(), {});
    if (!readCall(connection.fd())) {
        return;
    }
    if (std::holds_alternative<RefuseConnections>(afterReset_)) {
        closeListener();
    }
    connection.reset();
}

void ResettingServer::handle(const RefuseConnections & /*refuse*/) { }

void ResettingServer::handle(const AnswerCalls &answer)
{
    while (true) {
        const Connection connection(accept());
        if (connection.fd() < 0) {
            return;
        }
        while (readCall(connection.fd())) {
            writeAnswer(connection.fd(), answer);
        }
    }
}

void ResettingServer::handle(const StaySilent & /*silent*/)
{
    while (true) {
        const Connection connection(accept());
        if (connection.fd() < 0) {
            return;
        }
        while (readCall(connection.fd())) {
        }
    }
}

int ResettingServer::accept()
{
    std::array<pollfd, 2> ready{pollfd{listener_, POLLIN, 0}, pollfd{endPipe_[0], POLLIN, 0}};
    if (::poll(ready.data(), ready.size(), -1) < 0 || ready[1].revents != 0) {
        return -1;
    }
    return ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
}

bool ResettingServer::readCall(int connection)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    std::string text;
    std::array<char, 4096> part{};
    while (true) {
        const std::size_t end = text.find(headEnd);
        if (end != std::string::npos && text.size() >= end + headEnd.size() + contentLength(std::string_view(text).substr(0, end))) {
            break;
        }
        std::array<pollfd, 2> ready{pollfd{connection, POLLIN, 0}, pollfd{endPipe_[0], POLLIN, 0}};
        if (::poll(ready.data(), ready.size(), -1) < 0 || ready[1].revents != 0) {
            return false;
        }
        const ssize_t count = ::read(connection, part.data(), part.size());
        if (count <= 0) {
            return false;
        }
        text.append(part.data(), static_cast<std::size_t>(count));
    }
    const std::lock_guard lock(mutex_);
    calls_.push_back(text.substr(0, text.find("\r\n")));
    return true;
}

void ResettingServer::closeListener()
{
    const int listener = listener_.exchange(-1);
    if (listener >= 0) {
        ::close(listener);
    }
}

} // namespace LaburnumFlow::Testing
