#include "networkloop.h"

#include "protocol/codec.h"

#include <sys/epoll.h>

#include <algorithm>
#include <utility>

// Functions of NetworkLoop that open, read, write and close links.
namespace LaburnumFlow::Net::Internal {

void NetworkLoop::handle(ConnectCommand &command)
{
    Peer &peer = peers_[command.peer];
    const bool sameTarget = peer.target && peer.target->incarnation == command.incarnation && peer.target->to == command.to;
    if (sameTarget) {
        return;
    }
    const LinkId pendingLink = peer.target ? peer.target->pendingLink : 0;
    peer.target = Target{command.incarnation, command.to, {}, now_, 0};
    if (pendingLink != 0) {
        closeLink(pendingLink);
    }
    openIfDue(command.peer, peer);
}

void NetworkLoop::handle(DisconnectCommand &command)
{
    const auto found = peers_.find(command.peer);
    if (found == peers_.end()) {
        return;
    }
    const LinkId pendingLink = found->second.target ? found->second.target->pendingLink : 0;
    found->second.target.reset();
    if (pendingLink != 0) {
        closeLink(pendingLink);
    }
    closePeerLinks(command.peer);
    peers_.erase(command.peer);
}

Link &NetworkLoop::addLink(FileDescriptor socketFd, LinkPhase phase)
{
    const LinkId id = nextLink_++;
    const int fd = socketFd.get();
    Link &link = *links_.emplace(id, std::make_unique<Link>(id, std::move(socketFd), phase, now_)).first->second;
    link.writeWatched = phase == LinkPhase::Connecting;
    watch(fd, id, link.writeWatched ? EPOLLIN | EPOLLOUT : EPOLLIN, EPOLL_CTL_ADD);
    return link;
}

void NetworkLoop::openIfDue(const PeerKey &key, Peer &peer)
{
    if (!peer.target || peer.target->pendingLink != 0 || peer.target->nextAttemptAt > now_) {
        return;
    }
    const bool linked = !peer.upLinks.empty() && peer.incarnation == peer.target->incarnation;
    if (!linked) {
        openLink(key, *peer.target);
    }
}

void NetworkLoop::openLink(const PeerKey &key, Target &target)
{
    FileDescriptor socketFd = startConnect(target.to);
    if (!socketFd.valid()) {
        counters_.openFailed.add();
        target.nextAttemptAt = now_ + target.backoff.nextDelay(random_);
        return;
    }
    counters_.opened.add();
    Link &link = addLink(std::move(socketFd), LinkPhase::Connecting);
    link.outgoing = true;
    link.peer = key;
    target.pendingLink = link.id();
    sendHello(link);
}

void NetworkLoop::sendHello(Link &link)
{
    queueMessage(link, Protocol::LinkHello{config_.self, config_.isAgent});
}

void NetworkLoop::readLink(Link &link)
{
    const LinkId id = link.id();
    const Link::ReadResult result = link.read(readBuffer_, now_);
    if (!handleFrames(link)) {
        closeLink(id);
        return;
    }
    if (result == Link::ReadResult::Closed) {
        closeLink(id);
    }
}

/// Returns false if the link must be closed.
bool NetworkLoop::handleFrames(Link &link)
{
    std::span<const std::uint8_t> frame;
    FrameReader::Result result = link.reader.next(frame);
    while (result == FrameReader::Result::Frame) {
        auto message = Protocol::decodeLinkMessage(frame);
        if (!message) {
            counters_.malformed.add();
            return false;
        }
        if (!handleMessage(link, std::move(*message))) {
            return false;
        }
        result = link.reader.next(frame);
    }
    if (result == FrameReader::Result::Oversized) {
        counters_.oversized.add();
        return false;
    }
    link.reader.discardConsumed();
    return true;
}

/// Returns false if the link must be closed.
bool NetworkLoop::handleMessage(Link &link, Protocol::LinkMessage message)
{
    const auto *hello = std::get_if<Protocol::LinkHello>(&message);
    if ((hello != nullptr) != (link.phase == LinkPhase::AwaitingHello)) {
        counters_.malformed.add();
        return false;
    }
    if (hello != nullptr) {
        return handleHello(link, *hello);
    }
    if (!std::holds_alternative<Protocol::LinkPing>(message)) {
        counters_.messagesReceived.add();
        handler_.message({link.peer.name, peers_.at(link.peer).incarnation}, link.peer.isAgent, std::move(message));
    }
    return true;
}

/// Returns false if the link must be closed.
bool NetworkLoop::handleHello(Link &link, const Protocol::LinkHello &hello)
{
    const PeerKey key{hello.isAgent, hello.from.name};
    if (link.outgoing) {
        const auto found = peers_.find(link.peer);
        const bool expected = found != peers_.end() && found->second.target && found->second.target->pendingLink == link.id();
        if (!expected || key != link.peer || hello.from.incarnation != found->second.target->incarnation) {
            counters_.wrongPeer.add();
            return false;
        }
        found->second.target->pendingLink = 0;
    }
    link.peer = key;
    linkUp(link, hello.from.incarnation);
    return true;
}

void NetworkLoop::linkUp(Link &link, std::uint64_t incarnation)
{
    if (peers_[link.peer].incarnation != incarnation) {
        closePeerLinks(link.peer);
    }
    Peer &peer = peers_[link.peer];
    peer.incarnation = incarnation;
    peer.upLinks.push_back(link.id());
    link.phase = LinkPhase::Up;
    link.upSince = now_;
    if (peer.upLinks.size() == 1) {
        handler_.linkChanged({link.peer.name, incarnation}, link.peer.isAgent, true);
    }
}

void NetworkLoop::queueMessage(Link &link, const Protocol::LinkMessage &message)
{
    const std::vector<std::uint8_t> body = Protocol::encode(message);
    if (body.size() > config_.maxSentFrameBytes) {
        counters_.messagesDropped.add();
        return;
    }
    link.sendQueue.push(body);
    link.lastQueuedAt = now_;
    if (!link.flushPending) {
        link.flushPending = true;
        flushPending_.push_back(link.id());
    }
    // Flushes before the end of this iteration of the loop, as a burst of commands could queue any number of bytes until then.
    if (link.sendQueue.bytes() > config_.maxQueuedBytes) {
        flushLink(link);
    }
}

void NetworkLoop::flushLink(Link &link)
{
    if (link.phase == LinkPhase::Connecting) {
        return;
    }
    const SendQueue::Result result = link.sendQueue.writeTo(link.fd());
    if (result == SendQueue::Result::Broken) {
        closeLink(link.id());
        return;
    }
    if (link.sendQueue.bytes() > config_.maxQueuedBytes) {
        counters_.overflow.add();
        closeLink(link.id());
        return;
    }
    const bool blocked = result == SendQueue::Result::Blocked;
    if (blocked != link.writeWatched) {
        link.writeWatched = blocked;
        watch(link.fd(), link.id(), blocked ? EPOLLIN | EPOLLOUT : EPOLLIN, EPOLL_CTL_MOD);
    }
}

void NetworkLoop::flushPendingLinks()
{
    std::vector<LinkId> ids;
    ids.swap(flushPending_);
    for (const LinkId id : ids) {
        const auto found = links_.find(id);
        if (found != links_.end()) {
            found->second->flushPending = false;
            flushLink(*found->second);
        }
    }
}

void NetworkLoop::closeLink(LinkId id)
{
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    const std::unique_ptr<Link> link = std::move(found->second);
    links_.erase(found);
    handleLinkClosed(*link);
}

/// Reports that the peer is down if this was its last link, and schedules the next attempt to connect.
void NetworkLoop::handleLinkClosed(const Link &link)
{
    const auto found = peers_.find(link.peer);
    if (found == peers_.end()) {
        return;
    }
    Peer &peer = found->second;
    const bool wasUp = std::erase(peer.upLinks, link.id()) > 0;
    const bool wasOpening = peer.target && peer.target->pendingLink == link.id();
    if (wasOpening) {
        counters_.openFailed.add();
        peer.target->pendingLink = 0;
        peer.target->nextAttemptAt = now_ + peer.target->backoff.nextDelay(random_);
    }
    if (!wasUp || !peer.upLinks.empty()) {
        return;
    }
    handler_.linkChanged({link.peer.name, peer.incarnation}, link.peer.isAgent, false);
    if (!peer.target) {
        peers_.erase(found);
        return;
    }
    // Reconnects at once after a link that was up for long, but with backoff if links break soon after they are up.
    if (now_ - link.upSince >= config_.linkQuietLimit) {
        peer.target->backoff.reset();
        peer.target->nextAttemptAt = now_;
    } else {
        peer.target->nextAttemptAt = now_ + peer.target->backoff.nextDelay(random_);
    }
}

void NetworkLoop::closePeerLinks(const PeerKey &key)
{
    const auto found = peers_.find(key);
    if (found == peers_.end()) {
        return;
    }
    const std::vector<LinkId> ids = found->second.upLinks;
    for (const LinkId id : ids) {
        closeLink(id);
    }
}

} // namespace LaburnumFlow::Net::Internal
