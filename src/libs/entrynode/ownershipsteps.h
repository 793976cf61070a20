#pragma once

#include "ownership.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Steps that the source files of the ownership reducer share.
namespace LaburnumFlow::EntryNode::Internal {

struct Context {
    OwnershipState &state;
    OwnershipEffects &effects;
};

void logDecision(Context &context, std::string event, std::vector<std::pair<std::string, std::string>> fields);

/// Records that the store has responded to this entry.
void recordStoreResponse(OwnershipState &state);

/// Records that the store may hold a newer owner record than the read in progress shows.
void outdateRead(OwnershipState &state);

// Claims.
void claimIfNeeded(Context &context);
void handleClaimEnded(Context &context, const ClaimEnded &event);

/// Resolves a claim with an unknown outcome from the owner record that has been read since.
void resolveUnknownClaim(Context &context);

/// Returns to following and reads the owner record again before any claim.
void resumeFollowing(Context &context);

/// Takes over the owner record from the store.
void updateOwner(Context &context, const ClusterRead::Content &content);

// The entries that may confirm an owner. An owner that the store doesn't confirm needs the confirmation of most entries that its confirmer
// record names. Its successor reads the record with the claim, and waits until as many of them as are left know of the claim.

/// Returns the confirmer record that goes with the claim in the state.
Jobs::ConfirmerRecord claimedConfirmers(const OwnershipState &state);

/// Takes over the confirmer record of the claim that has been won.
void adoptConfirmers(OwnershipState &state, Jobs::ConfirmerRecord record, std::int64_t revision);

void readConfirmers(OwnershipState &state, const ClusterRead::Content &content);
void handleConfirmersWritten(Context &context, const ConfirmersWritten &event);

/// Returns until when most of the entries that the confirmer record names have confirmed this entry as the owner.
Base::MonoTime confirmersConfirmedUntil(const OwnershipState &state);

/// What an owner knows of another entry that may confirm it.
struct Confirmation {
    Base::MonoTime sentAt{}; ///< of the latest heartbeat that the entry has confirmed
    std::optional<Base::MonoTime> refusedAt; ///< as in Peer, if the entry is down
};

Confirmation confirmationBy(const OwnershipState &state, const Peer &peer);

/// Returns until when most entries confirm the owner. Those that are down aren't counted until the refusals are too old, as another process
/// may have started since.
Base::MonoTime confirmedUntil(const std::vector<Confirmation> &confirmations);

/// Returns whether the peer's address has refused a connection so recently that no new process can have confirmed the owner since.
bool isDown(const OwnershipState &state, const Peer &peer);

/// Returns whether this owner waits for the entry to learn of its claim.
bool isAwaitedConfirmer(const OwnershipState &state, const std::string &name);

/// Checks whether former owners can still be confirmed, and keeps the confirmer record up to date.
void updateConfirmers(Context &context);

// The presence key and its lease.
void handleLease(Context &context, const LeaseGranted &event);
void handleLease(Context &context, const LeaseRenewed &event);
void handlePresence(Context &context, const PresenceWritten &event);

/// Requests a new lease and presence key if this entry's key is missing among the entries that were read.
void checkPresence(Context &context, const std::vector<Jobs::EntryRecord> &entries);

/// Sends the next call that the presence key needs: a new lease, the key itself or a renewal.
void maintainPresence(Context &context);

// Other entries.
void updatePeers(Context &context, const std::vector<Jobs::EntryRecord> &entries);
void handlePeer(Context &context, const PeerLinked &event);
void handlePeer(Context &context, const PeerUnlinked &event);
void handlePeer(Context &context, const PeerHeartbeat &event);
void handlePeer(Context &context, const PeerHeartbeatReply &event);
void dialPeers(Context &context);
void sendHeartbeats(Context &context);

/// Returns the peer's address for links; port 0 if the peer isn't known.
Base::Endpoint peerEndpoint(const OwnershipState &state, const std::string &name);

// The authority of the owner. An owner that has been replaced may not learn of it: it is cut off from the store and from its successor.
// It therefore sends orders only while it has recent proof that it has not been replaced: the store held its claim, as this entry or another
// one has read, or, while the store can't be reached, most entries know no newer owner.

/// Records an epoch that an owner has or had.
void recordEpoch(OwnershipState &state, std::uint64_t epoch);

/// Records that the store held this entry's claim at the given time.
void confirmClaim(OwnershipState &state, Base::MonoTime at);

/// Ends the ownership of this entry, as another entry owns the jobs under the higher epoch. The successor's port is 0 if it isn't known.
void endOwnership(Context &context, std::uint64_t epoch, Base::Endpoint successor);

/// Confirms the owner that has sent the heartbeat, or names its successor.
void replyToHeartbeat(Context &context, const PeerHeartbeat &event);

/// Computes until when this entry may send orders as the owner, and reports a change.
void updateAuthority(Context &context);

} // namespace LaburnumFlow::EntryNode::Internal
