#pragma once

#include "ownership.h"

#include <string>
#include <utility>
#include <vector>

/// Steps of the ownership reducer that its parts share.
namespace LaburnumFlow::EntryNode::Internal {

struct Context {
    OwnershipState &state;
    OwnershipEffects &effects;
};

void logDecision(Context &context, std::string event, std::vector<std::pair<std::string, std::string>> fields);

/// The store has answered this entry.
void recordStoreResponse(OwnershipState &state);

// Claims.
void claimIfNeeded(Context &context);
void handleClaimEnded(Context &context, const ClaimEnded &event);

/// A claim whose outcome was unknown has been read back.
void resolveUnknownClaim(Context &context);

/// Drops what was known of the owner and reads it anew.
void resumeFollowing(Context &context);

/// Keeps the owner as the store shows it.
void updateOwner(Context &context, const ClusterRead::Content &content);

// The presence key and its lease.
void handleLease(Context &context, const LeaseGranted &event);
void handleLease(Context &context, const LeaseRenewed &event);
void handlePresence(Context &context, const PresenceWritten &event);

/// Finds out whether the presence key has vanished.
void checkPresence(Context &context, const std::vector<Jobs::EntryRecord> &entries);
void maintainPresence(Context &context);

// Other entries.
void updatePeers(Context &context, const std::vector<Jobs::EntryRecord> &entries);
void handlePeer(Context &context, const PeerLinked &event);
void handlePeer(Context &context, const PeerUnlinked &event);
void handlePeer(Context &context, const PeerHeartbeat &event);
void dialPeers(Context &context);
void sendHeartbeats(Context &context);

} // namespace LaburnumFlow::EntryNode::Internal
