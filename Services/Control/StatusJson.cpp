#include "Services/Control/StatusJson.h"

#include "LibControl/RaftWatch.h"

#include <array>
#include <string_view>

namespace Services {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> RoleNames {"learner", "follower", "pre-candidate", "candidate",
                                                     "leader"};
constexpr std::array<std::string_view, 3> EntryStateNames {"joining", "serving", "leaving"};

template<std::size_t Count, typename Enum>
std::string_view nameOf(const std::array<std::string_view, Count> &names, Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < Count ? names.at(index) : "unknown";
}

json revisionJson(const Wire::RevisionRecord &record, const std::string &changeId)
{
    if (record.revision == 0)
        return nullptr;
    return {{"revision", record.revision}, {"hash", record.documentHash}, {"change_id", changeId}};
}

json membersJson(const Consensus::RaftStatus &raft)
{
    auto members = json::array();
    for (const auto &member : raft.members) {
        members.push_back({{"id", member.member.nodeId},
                           {"incarnation", member.member.incarnation},
                           {"address", member.member.peerAddress},
                           {"voter", member.member.voter},
                           {"match_index", member.matchIndex},
                           {"silent_ms", Base::toMilliseconds(member.silentFor)},
                           {"unheard", member.silentFor >= Control::RaftWatch::UnheardAfter}});
    }
    return members;
}

json entryJson(const Wire::EntryRecord &entry, const Control::LeaseTable &leases, Base::Instant now)
{
    json body {{"id", entry.entryId},
               {"incarnation", entry.incarnation},
               {"data_centre", entry.dataCentre},
               {"address", entry.callerAddress},
               {"peer_address", entry.peerAddress},
               {"state", nameOf(EntryStateNames, entry.state)}};
    const auto *lease = leases.find(entry.entryId);
    if (lease != nullptr) {
        body["lease_age_ms"] = Base::toMilliseconds(now - lease->lastHeard);
        body["lease_live"] = leases.isLive(now, entry.entryId);
    }
    return body;
}

json registeredJson(const Control::ControlCore &core, Base::Instant now)
{
    auto entries = json::array();
    for (const auto &[entryId, entry] : core.state().content().entries)
        entries.push_back(entryJson(entry, core.leases(), now));
    return entries;
}

json sharesJson(const Control::ControlContent &content)
{
    auto shares = json::array();
    for (const auto &[serverId, share] : content.shares) {
        shares.push_back({{"server", serverId},
                          {"entry", share.entryId},
                          {"epoch", share.epoch},
                          {"release_requested", share.releaseRequested}});
    }
    return shares;
}

} // namespace

json controlStatusJson(const std::string &nodeId, const Control::ControlCore &core,
                       const Consensus::RaftStatus &raft, Base::Instant now)
{
    const auto &content = core.state().content();
    return {{"node", nodeId},
            {"role", nameOf(RoleNames, raft.role)},
            {"leads", core.isReady(now)},
            {"term", raft.term},
            {"leader", raft.leaderId},
            {"healthy", Control::RaftWatch::isHealthy(raft)},
            {"isolated", raft.isolated},
            {"isolated_ms", Base::toMilliseconds(raft.isolatedFor)},
            {"members", membersJson(raft)},
            {"last_index", raft.lastIndex},
            {"commit_index", raft.commitIndex},
            {"applied_index", core.appliedIndex()},
            {"directory_version", content.directoryVersion},
            {"production", revisionJson(content.accepted, content.acceptedChangeId)},
            {"proposed", revisionJson(content.proposed, content.proposedChangeId)},
            {"trial", {{"revision", content.trial.revision}, {"hash", content.trial.documentHash}}},
            {"entries", registeredJson(core, now)},
            {"shares", sharesJson(content)},
            {"claims", content.claims.size()}};
}

json entriesJson(const Control::ControlCore &core)
{
    const auto &content = core.state().content();
    const auto maxAge = core.document() == nullptr ? Configuration::Document {}.addressMaxAge
                                                   : core.document()->addressMaxAge;
    auto entries = json::array();
    for (const auto &[entryId, entry] : content.entries) {
        if (entry.state == Wire::EntryState::Serving)
            entries.push_back(
                {{"id", entryId}, {"address", entry.callerAddress}, {"data_centre", entry.dataCentre}});
    }
    return {{"max_age_ms", maxAge.count() / 1000},
            {"revision", content.accepted.revision},
            {"entries", std::move(entries)}};
}

} // namespace Services
