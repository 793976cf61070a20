#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace LaburnumFlow::Testing {

/// After the reset nothing listens at the address any more.
struct RefuseConnections {
};

/// After the reset calls on new connections are answered with this.
struct AnswerCalls {
    int status = 200;
    std::string body = "{}";
};

/// After the reset calls on new connections are read and get no answer.
struct StaySilent {
};

using AfterReset = std::variant<RefuseConnections, AnswerCalls, StaySilent>;

/// A server of the loopback interface that loses an answer: it answers the first call of the first connection with 200, reads the second call on it, and
/// resets the connection in place of an answer.
class ResettingServer
{
public:
    explicit ResettingServer(AfterReset afterReset);
    ~ResettingServer();
    ResettingServer(const ResettingServer &) = delete;
    ResettingServer &operator=(const ResettingServer &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    /// Returns the request lines of the calls that were read to their ends, in their order.
    std::vector<std::string> calls() const;

private:
    void serve();
    void loseAnswer();
    void handle(const RefuseConnections &refuse);
    void handle(const AnswerCalls &answer);
    void handle(const StaySilent &silent);
    /// Returns an accepted connection, or -1 once the server is about to end.
    int accept();
    /// Returns false if the connection ends before the call is complete.
    bool readCall(int connection);
    void closeListener();

    AfterReset afterReset_;
    std::atomic<int> listener_{-1};
    std::uint16_t port_ = 0;
    int endPipe_[2] = {-1, -1}; ///< closed at its writing end to end the server
    mutable std::mutex mutex_;
    std::vector<std::string> calls_;
    std::thread thread_;
};

} // namespace LaburnumFlow::Testing
