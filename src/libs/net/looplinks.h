#pragma once

#include "base/types.h"
#include "eventloop/eventloop.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>

namespace LaburnumFlow::Net {

/// Identifies a link within a LoopLinks object. Ids are not reused.
using LinkId = std::uint64_t;

/// The reason why a link was closed.
enum class LinkEnd : std::uint8_t {
    Lost, ///< Closed by the peer, broken, or not connected in time
    Refused, ///< No process listens at the dialed address
};

/// Receives the events of links. All functions are called from the event loop.
class LinkHandler
{
public:
    virtual ~LinkHandler() = default;

    /// Called when a link that dial() created is connected.
    virtual void linkConnected(LinkId link) = 0;

    /// Called when a peer has connected to the address passed to listen().
    virtual void linkAccepted(LinkId link) = 0;

    /// Called for each received frame, without its header. The frame is only valid during the call.
    virtual void linkFrame(LinkId link, std::span<const std::uint8_t> frame) = 0;

    /// Called when the peer closed the link, the link broke, or it could not be connected. Not called after close().
    virtual void linkClosed(LinkId link, LinkEnd reason) = 0;
};

/// Manages TCP links that carry frames between laburnumflow processes, on an event loop.
class LoopLinks
{
public:
    LoopLinks(EventLoop::Loop &loop, LinkHandler &handler);
    ~LoopLinks();
    LoopLinks(const LoopLinks &) = delete;
    LoopLinks &operator=(const LoopLinks &) = delete;

    /// Starts to accept links at the address. Fails with BindFailed.
    boost::leaf::result<void> listen(const Base::Endpoint &endpoint);

    /// Starts to connect to the address. LinkHandler::linkConnected() or linkClosed() is called later, never from dial().
    LinkId dial(const Base::Endpoint &endpoint);

    /// Queues a frame. Frames queued in the same iteration of the loop are written together. Drops the frame if the link is closed.
    void send(LinkId id, std::span<const std::uint8_t> frame);

    /// Closes the link and discards its unsent frames, without a call of linkClosed().
    void close(LinkId id);

    struct Link;

private:
    Link *find(LinkId link);
    void accept();
    void handleEvents(LinkId id, std::uint32_t events);
    bool read(Link &link);
    void flush(LinkId id);
    void closeAndReport(LinkId id, LinkEnd reason = LinkEnd::Lost);
    Link &add(int fd, bool connecting);

    EventLoop::Loop &loop_;
    LinkHandler &handler_;
    int listener_ = -1;
    LinkId lastLink_ = 0;
    std::unordered_map<LinkId, std::unique_ptr<Link>> links_;
};

} // namespace LaburnumFlow::Net
