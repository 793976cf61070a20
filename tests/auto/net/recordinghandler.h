#pragma once

#include "net/network.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace LaburnumFlow::NetTest {

constexpr std::chrono::seconds testTimeout{60};

/// Records the link changes, messages and datagrams that a Network reports.
class RecordingHandler : public Net::NetworkHandler
{
public:
    void linkChanged(const Base::ProcessId &peer, bool isAgent, bool up) override;
    void message(const Base::ProcessId &peer, bool isAgent, Protocol::LinkMessage message) override;
    void datagram(const Base::Endpoint &from, Protocol::Datagram datagram) override;

    /// Waits for as many link changes and compares them. A change is written "up NAME INCARNATION" or "down NAME INCARNATION",
    /// with "agent" before the name of an agent.
    bool waitForLinks(const std::vector<std::string> &expected);
    bool waitForLinkCount(std::size_t count);
    bool waitForEpochs(std::size_t count);
    bool waitForDatagrams(std::size_t count);

    std::vector<std::string> links();
    std::vector<std::uint64_t> epochs(); ///< Epochs of the received HandoverAcks; 0 for other messages
    std::vector<Base::Endpoint> datagramSources();

private:
    bool waitFor(const std::function<bool()> &condition);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> links_;
    std::vector<std::uint64_t> epochs_;
    std::vector<Base::Endpoint> datagramSources_;
};

/// A started Network on loopback.
struct Node {
    explicit Node(const std::string &name, const std::function<void(Net::NetworkConfig &)> &adjust = {});

    Base::Endpoint endpoint() const;
    bool waitForCounter(std::string_view name, std::uint64_t atLeast);

    Base::CounterRegistry counters;
    RecordingHandler handler;
    Net::NetworkConfig config;
    Net::Network network;
    std::uint16_t port = 0;
};

/// Returns a message that carries a number.
Protocol::LinkMessage numberedMessage(std::uint64_t number);

/// Returns a message of slightly more than this many bytes.
Protocol::LinkMessage messageOfSize(std::size_t bytes);

} // namespace LaburnumFlow::NetTest
