#include "settingsspread.h"

#include "ownership.h"
#include "settings/teamsettings.h"
#include "steps.h"

#include <xxhash.h>

#include <algorithm>

namespace LaburnumFlow::Cluster {

namespace Internal {

namespace {

void raiseRevisions(Protocol::RevisionMap &known, const Protocol::RevisionMap &revisions)
{
    for (const auto &[team, revision] : revisions) {
        std::uint64_t &value = known[team];
        value = std::max(value, revision);
    }
}

PeerInfo *findPeer(ClusterState &state, const Base::ProcessId &id)
{
    const auto found = state.peers.find(id.name);
    return found != state.peers.end() && found->second.record.id == id ? &found->second : nullptr;
}

void rebuildRules(ClusterState &state, Step &step, std::vector<std::string> changed)
{
    std::vector<std::string> rejected;
    state.rules = Settings::buildRules(state.subtrees, &rejected);
    for (const std::string &team : rejected) {
        if (std::find(changed.begin(), changed.end(), team) != changed.end() || changed.empty()) {
            count(step, "settings.rejected");
            log(step, "settings-rejected", {{"team", team}});
        }
    }
    step.changes.emplace_back(RulesChanged{std::move(changed)});
}

} // namespace

std::uint64_t settingsDigest(const ClusterState &state)
{
    std::string text;
    for (const auto &[team, subtree] : state.subtrees) {
        text.append(team).append("=").append(std::to_string(subtree.revision)).push_back('\n');
    }
    return XXH64(text.data(), text.size(), 0);
}

void applySubtrees(ClusterState &state, Step &step, const std::vector<Protocol::SettingsSubtree> &subtrees)
{
    std::vector<std::string> changed;
    bool rootChanged = false;
    for (const Protocol::SettingsSubtree &subtree : subtrees) {
        const auto known = state.subtrees.find(subtree.team);
        if (known != state.subtrees.end() && subtree.revision <= known->second.revision) {
            if (subtree.revision < known->second.revision) {
                count(step, "settings.older-ignored");
            }
            continue;
        }
        state.subtrees.insert_or_assign(subtree.team, subtree);
        rootChanged = rootChanged || subtree.team.empty();
        changed.push_back(subtree.team);
        count(step, "settings.applied");
        log(step, "settings-applied", {{"team", subtree.team}, {"revision", std::to_string(subtree.revision)}, {"changeId", subtree.changeId}});
    }
    if (changed.empty()) {
        return;
    }
    if (rootChanged) {
        changed.clear();
    }
    rebuildRules(state, step, std::move(changed));
    for (const auto &[name, peer] : state.peers) {
        if (peer.linkUp) {
            sendSettingsAck(state, step, name);
        }
    }
}

void compareSettings(ClusterState &state, Step &step, PeerInfo &peer)
{
    if (peer.settingsDigest == settingsDigest(state)) {
        // Equal digests mean equal revisions, so a lost SettingsAck does no harm.
        raiseRevisions(peer.activeRevisions, activeRevisions(state));
    } else if (peer.linkUp) {
        step.effects.emplace_back(Events::SendToPeer{peer.record.id.name, Protocol::SettingsFetch{activeRevisions(state)}});
    }
}

void sendSettingsAck(const ClusterState &state, Step &step, const std::string &peer)
{
    step.effects.emplace_back(Events::SendToPeer{peer, Protocol::SettingsAck{state.self.id, activeRevisions(state)}});
}

void handleSettingsFetch(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::SettingsFetch &fetch)
{
    if (PeerInfo *peer = findPeer(state, from)) {
        raiseRevisions(peer->activeRevisions, fetch.known);
    }
    Protocol::SettingsContents contents;
    for (const auto &[team, subtree] : state.subtrees) {
        const auto known = fetch.known.find(team);
        if (known == fetch.known.end() || known->second < subtree.revision) {
            contents.subtrees.push_back(subtree);
        }
    }
    if (!contents.subtrees.empty()) {
        count(step, "settings.contents-sent");
        step.effects.emplace_back(Events::SendToPeer{from.name, std::move(contents)});
    }
}

void handleSettingsContents(ClusterState &state, Step &step, const Base::ProcessId &from, const Protocol::SettingsContents &contents)
{
    applySubtrees(state, step, contents.subtrees);
    sendSettingsAck(state, step, from.name);
}

void handleSettingsAck(ClusterState &state, const Protocol::SettingsAck &ack)
{
    if (PeerInfo *peer = findPeer(state, ack.from)) {
        raiseRevisions(peer->activeRevisions, ack.activeRevisions);
    }
}

} // namespace Internal

const Settings::TeamRules *rulesFor(const ClusterState &state, std::string_view team)
{
    const auto found = state.rules.teams.find(team);
    return found == state.rules.teams.end() ? nullptr : &found->second;
}

Protocol::RevisionMap activeRevisions(const ClusterState &state)
{
    Protocol::RevisionMap revisions;
    for (const auto &[team, subtree] : state.subtrees) {
        revisions.emplace(team, subtree.revision);
    }
    return revisions;
}

std::size_t entriesWithRevision(const ClusterState &state, std::string_view team, std::uint64_t revision)
{
    if (!state.map) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(state.map->entries.begin(), state.map->entries.end(), [&](const Protocol::EntryRecord &member) {
        if (member.id == state.self.id) {
            const auto own = state.subtrees.find(team);
            return own != state.subtrees.end() && own->second.revision >= revision;
        }
        const auto peer = state.peers.find(member.id.name);
        if (peer == state.peers.end() || peer->second.record.id != member.id) {
            return false;
        }
        const auto known = peer->second.activeRevisions.find(std::string(team));
        return known != peer->second.activeRevisions.end() && known->second >= revision;
    }));
}

} // namespace LaburnumFlow::Cluster
