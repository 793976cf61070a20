#include "recordinghandler.h"

#include <cppunit/TestAssert.h>

#include <thread>

namespace LaburnumFlow::NetTest {

namespace {

Net::NetworkConfig makeConfig(const std::string &name, const std::function<void(Net::NetworkConfig &)> &adjust)
{
    Net::NetworkConfig config;
    config.self = {name, 1};
    config.listen = {"127.0.0.1", 0};
    config.seed = 20261204;
    // Under a sanitizer the process may be slow enough for links to look silent in tests of other properties.
    config.linkQuietLimit = testTimeout;
    if (adjust) {
        adjust(config);
    }
    return config;
}

} // namespace

void RecordingHandler::linkChanged(const Base::ProcessId &peer, bool isAgent, bool up)
{
    const std::lock_guard lock(mutex_);
    links_.push_back(std::string(up ? "up " : "down ") + (isAgent ? "agent " : "") + peer.name + " " + std::to_string(peer.incarnation));
    changed_.notify_all();
}

void RecordingHandler::message(const Base::ProcessId &, bool, Protocol::LinkMessage message)
{
    const auto *peerMessage = std::get_if<Protocol::PeerMessage>(&message);
    const auto *ack = peerMessage != nullptr ? std::get_if<Protocol::HandoverAck>(peerMessage) : nullptr;
    const std::lock_guard lock(mutex_);
    epochs_.push_back(ack != nullptr ? ack->epoch : 0);
    changed_.notify_all();
}

void RecordingHandler::datagram(const Base::Endpoint &from, Protocol::Datagram)
{
    const std::lock_guard lock(mutex_);
    datagramSources_.push_back(from);
    changed_.notify_all();
}

bool RecordingHandler::waitFor(const std::function<bool()> &condition)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, testTimeout, condition);
}

bool RecordingHandler::waitForLinks(const std::vector<std::string> &expected)
{
    waitForLinkCount(expected.size());
    return links() == expected;
}

bool RecordingHandler::waitForLinkCount(std::size_t count)
{
    return waitFor([&] { return links_.size() >= count; });
}

bool RecordingHandler::waitForEpochs(std::size_t count)
{
    return waitFor([&] { return epochs_.size() >= count; });
}

bool RecordingHandler::waitForDatagrams(std::size_t count)
{
    return waitFor([&] { return datagramSources_.size() >= count; });
}

std::vector<std::string> RecordingHandler::links()
{
    const std::lock_guard lock(mutex_);
    return links_;
}

std::vector<std::uint64_t> RecordingHandler::epochs()
{
    const std::lock_guard lock(mutex_);
    return epochs_;
}

std::vector<Base::Endpoint> RecordingHandler::datagramSources()
{
    const std::lock_guard lock(mutex_);
    return datagramSources_;
}

Node::Node(const std::string &name, const std::function<void(Net::NetworkConfig &)> &adjust)
    : config(makeConfig(name, adjust)), network(config, handler, counters)
{
    const auto bound = network.bind();
    CPPUNIT_ASSERT(bound);
    port = *bound;
    network.start();
}

Base::Endpoint Node::endpoint() const
{
    return {"127.0.0.1", port};
}

bool Node::waitForCounter(std::string_view name, std::uint64_t atLeast)
{
    const auto limit = std::chrono::steady_clock::now() + testTimeout;
    while (counters.counter(name).value() < atLeast) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        std::this_thread::yield();
    }
    return true;
}

Protocol::LinkMessage numberedMessage(std::uint64_t number)
{
    Protocol::HandoverAck ack;
    ack.epoch = number;
    return Protocol::PeerMessage(ack);
}

Protocol::LinkMessage messageOfSize(std::size_t bytes)
{
    Protocol::RelayCancel cancel;
    cancel.team.assign(bytes, 'x');
    return Protocol::PeerMessage(cancel);
}

} // namespace LaburnumFlow::NetTest
