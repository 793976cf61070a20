#pragma once

#include "ownership.h"

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

// Claims.
void claimIfNeeded(Context &context);
void handleClaimEnded(Context &context, const ClaimEnded &event);

/// Resolves a claim with an unknown outcome from the owner record that has been read since.
void resolveUnknownClaim(Context &context);

/// Returns to following and reads the owner record again before any claim.
void resumeFollowing(Context &context);

/// Takes over the owner record from the store.
void updateOwner(Context &context, const ClusterRead::Content &content);

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
void dialPeers(Context &context);
void sendHeartbeats(Context &context);

} // namespace LaburnumFlow::EntryNode::Internal
