#pragma once

#include "base/types.h"
#include "eventloop/eventloop.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>

namespace LaburnumFlow::Net {

/// Identifies a link of one LoopLinks; never reused.
using LinkId = std::uint64_t;

/// Why a link has ended.
enum class LinkEnd : std::uint8_t {
    Lost, ///< closed by the peer, broken, or not connected in time
    Refused, ///< nothing listens at the address that was dialed
};

/// Takes what happens on links. The calls come from the loop.
class LinkHandler
{
public:
    virtual ~LinkHandler() = default;

    /// A link that dial() began is connected.
    virtual void linkConnected(LinkId link) = 0;

    /// A peer has connected.
    virtual void linkAccepted(LinkId link) = 0;

    virtual void linkFrame(LinkId link, std::span<const std::uint8_t> frame) = 0;

    /// The peer closed the link, it broke, or it could not be connected. Not called after close().
    virtual void linkClosed(LinkId link, LinkEnd reason) = 0;
};

/// Framed TCP links between laburnumflow processes on an event loop.
class LoopLinks
{
public:
    LoopLinks(EventLoop::Loop &loop, LinkHandler &handler);
    ~LoopLinks();
    LoopLinks(const LoopLinks &) = delete;
    LoopLinks &operator=(const LoopLinks &) = delete;

    /// Accepts links at the address. Fails with BindFailed.
    boost::leaf::result<void> listen(const Base::Endpoint &endpoint);

    /// Begins to connect; linkConnected() or linkClosed() follows.
    LinkId dial(const Base::Endpoint &endpoint);

    /// Frames of one round of the loop are written together. Dropped if the link is closed.
    void send(LinkId id, std::span<const std::uint8_t> frame);

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
