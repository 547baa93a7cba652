// The replicated log of a registry and its members.

#include "LibControl/MembershipPlanner.h"
#include "LibControl/VoterEligibility.h"
#include "LibRegistry/Formation.h"
#include "Services/Registry/RegistryProcess.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace Services {

namespace {

using Importance = Base::EventLog::Importance;

constexpr Base::Duration ReopenInterval = Base::milliseconds(500);
/// A later delivery is useless, because the sender has repeated the message by then.
constexpr Base::Duration RaftMessageTimeout = Base::seconds(2);
constexpr Base::Duration IntroductionInterval = Base::milliseconds(200);
/// Interval at which a leader calls at addresses where a registry was that is no member now.
constexpr Base::Duration SearchForFormerInterval = Base::seconds(1);
constexpr Base::Duration JoinInterval = Base::milliseconds(300);
constexpr Base::Duration JoinTimeout = Base::milliseconds(800);
/// A member that hears no leader for this long asks whether it is still a member.
constexpr Base::Duration LeaderSilenceBeforeJoin = Base::seconds(2);
/// Maximum batches of Raft output per call; the rest waits for the next iteration of the event loop.
constexpr int MaxReadyRounds = 8;

bool isEmpty(const Consensus::Ready &ready)
{
    return !ready.restore && ready.committed.empty() && ready.messages.empty();
}

std::size_t payloadBytes(const Consensus::Ready &ready)
{
    std::size_t bytes = 0;
    for (const auto &entry : ready.committed)
        bytes += entry.payload.size();
    return bytes;
}

} // namespace

void RegistryProcess::writeClusterEvent(Base::LogLevel, std::string_view summary,
                                        std::initializer_list<Base::LogField> fields)
{
    const auto now = clock_.now();
    if (!events_.admits(now, Importance::Notable))
        return;
    std::string detail;
    for (const auto &field : fields)
        Base::appendLogField(detail, field);
    events_.append("cluster_changed", {{"what", summary}, {"detail", detail}});
}

void RegistryProcess::openCluster(Base::Instant now, ClusterNode::Founding founding)
{
    nextOpenAttempt_ = now + ReopenInterval;
    auto cluster = ClusterNode::create(settings_, now, founding);
    if (!cluster) {
        if (openFailure_ != cluster.error().detail)
            events_.write(now, Importance::Notable, "dependency_lost",
                          {{"dependency", "disk"},
                           {"error", Base::errorName(cluster.error().kind)},
                           {"detail", cluster.error().detail}});
        openFailure_ = cluster.error().detail;
        if (cluster.error().kind != Base::ErrorKind::CorruptData)
            return;
        // The other registries hold the lost data; this one rejoins as a new member.
        if (auto reset = ClusterNode::reset(settings_); !reset)
            events_.write(now, Importance::Notable, "repair_failed", {{"detail", reset.error().detail}});
        return;
    }
    cluster_ = std::move(*cluster);
    openFailure_.clear();
    events_.write(now, Importance::Notable, "dependency_regained",
                  {{"dependency", "disk"},
                   {"incarnation", cluster_->incarnation()},
                   {"holds_log", cluster_->holdsLog()}});
}

void RegistryProcess::foundCluster(Base::Instant now, std::string_view reason)
{
    events_.write(now, Importance::Notable, "cluster_founded",
                  {{"reason", reason}, {"has_disk", !settings_.dataDirectory.empty()}});
    cluster_.reset();
    openCluster(now, ClusterNode::Founding::Appointed);
}

void RegistryProcess::searchForFounder(Base::Instant now, const Consensus::RaftStatus &status)
{
    if (!founderSearch_)
        return;
    if (isMember(status))
        return founderSearch_.reset();
    if (!founderSearch_->mustFoundHere(now))
        return;
    founderSearch_.reset();
    foundCluster(now, "no registry with a disk has come");
}

void RegistryProcess::closeCluster(const Base::Error &reason)
{
    events_.write(
        clock_.now(), Importance::Notable, "dependency_lost",
        {{"dependency", "disk"}, {"error", Base::errorName(reason.kind)}, {"detail", reason.detail}});
    openFailure_ = reason.detail;
    cluster_->core().failPendingSubmissions();
    cluster_.reset();
    nextOpenAttempt_ = clock_.now() + ReopenInterval;
}

void RegistryProcess::processReady()
{
    for (int round = 0; cluster_ && round < MaxReadyRounds; ++round) {
        const auto ready = cluster_->raft().takeReady(clock_.now());
        if (!ready)
            return closeCluster(ready.error());
        if (isEmpty(*ready))
            return;
        const auto changed = cluster_->core().handleReady(*ready);
        if (!changed)
            return closeCluster(changed.error());
        sendRaft(ready->messages);
        if (*changed) {
            logStoredState();
            watchers_.answer(clock_.now());
        }
        if (const auto compacted = cluster_->compactIfDue(payloadBytes(*ready)); !compacted)
            return closeCluster(compacted.error());
    }
}

void RegistryProcess::logStoredState()
{
    const auto now = clock_.now();
    const auto &configuration = cluster_->core().configuration();
    if (std::exchange(loggedVersion_, configuration.version()) != configuration.version())
        events_.write(now, Importance::Notable, "configuration_stored",
                      {{"version", configuration.version()},
                       {"bytes", configuration.text().size()},
                       {"log_index", cluster_->core().appliedIndex()}});
    const auto &evacuations = cluster_->core().evacuations();
    if (std::exchange(loggedEvacuationRevision_, evacuations.revision()) == evacuations.revision())
        return;
    events_.write(now, Importance::Notable, "evacuation_stored",
                  {{"revision", evacuations.revision()},
                   {"data_centres", fmt::format("{}", fmt::join(evacuations.dataCentres(), ","))}});
}

void RegistryProcess::sendRaft(const std::vector<Wire::RaftMessage> &messages)
{
    if (messages.empty())
        return;
    for (const auto &member : cluster_->raft().status(clock_.now()).members)
        addresses_.add(member.member.nodeId, member.member.incarnation, member.member.peerAddress);
    for (const auto &message : messages) {
        const auto address = addresses_.find(message.to, message.toIncarnation);
        // Raft repeats lost messages, so the result of the call is ignored.
        if (!address.empty())
            endpoint_->call(address, Wire::Method::RaftMessage, Wire::encode(message), RaftMessageTimeout,
                            [](const Base::Result<Base::Bytes> &) {});
    }
}

bool RegistryProcess::isLeader(Base::Instant now)
{
    return cluster_ && cluster_->raft().isLeader(now);
}

void RegistryProcess::maintainMembership(Base::Instant now)
{
    const auto status = cluster_->raft().status(now);
    raftWatch_.observe(status);
    const bool leads = isLeader(now);
    metrics_.gauge("daisyroute_registry_leader", "1 on the leader.").set(leads ? 1 : 0);
    metrics_.gauge("daisyroute_registry_term", "Raft term.").set(static_cast<double>(status.term));
    metrics_.gauge("daisyroute_configuration_version", "Version held.")
        .set(static_cast<double>(cluster_->core().configuration().version()));
    metrics_.gauge("daisyroute_evacuated_data_centres", "Data centres whose servers get nothing.")
        .set(static_cast<double>(cluster_->core().evacuations().count()));
    if (!leads) {
        formation_.reset();
        joinIfNeeded(now, status);
        return searchForFounder(now, status);
    }
    watchFormation(now, status);
    introduceToNewMembers(status);
    auto next = Control::MembershipPlanner::next(status, targetVoterCount());
    // A member that is gone must not count for the majority any more once its successor has had the catch-up
    // time. The other half covers the election that comes first if the lost member was the leader.
    if (!next)
        next = Control::MembershipPlanner::withoutGone(status, targetVoterCount(), settings_.catchUpTime / 2);
    // The node refuses while an earlier change is not committed; the next tick retries.
    if (next && cluster_->raft().proposeMembership(now, *next))
        events_.write(now, Importance::Notable, "membership_proposed",
                      {{"members_before", status.members.size()}, {"members_after", next->members.size()}});
}

std::size_t RegistryProcess::votersToForm() const
{
    return Registry::votersToForm({settings_.lostVmsTolerated, settings_.seeds.size()});
}

void RegistryProcess::watchFormation(Base::Instant now, const Consensus::RaftStatus &status)
{
    std::vector<std::string> seeds;
    for (const auto &seed : settings_.seeds)
        seeds.push_back(settings_.registryPeerAddress(seed));
    const auto state = formation_.observe(now, status, {votersToForm(), seeds, settings_.catchUpTime});
    const auto voters = Control::eligibleVoterCount(status);
    if (state == Registry::FormationWatch::State::Starting || voters >= targetVoterCount()
        || std::exchange(warnedOfFewVoters_, true))
        return;
    events_.write(now, Importance::Notable, "deployment_warning",
                  {{"what", "fewer registries with a disk than the tolerated losses need"},
                   {"voters", voters},
                   {"needed", targetVoterCount()},
                   {"losses_borne", Registry::FormationWatch::lossesBorne(voters)},
                   {"losses_asked", settings_.lostVmsTolerated}});
}

/// A node that has just been added does not know the membership, so it could not answer the leader. One that
/// has lost its log and its vote may know no member at all.
void RegistryProcess::introduceToNewMembers(const Consensus::RaftStatus &status)
{
    const auto now = clock_.now();
    if (now < nextIntroduction_)
        return;
    nextIntroduction_ = now + IntroductionInterval;
    seenRegistries_.rememberMembers(status.members);
    for (const auto &member : status.members) {
        if (member.matchIndex == 0 && member.member.nodeId != settings_.nodeId)
            introduceTo(member.member.peerAddress);
    }
    if (now < nextSearchForFormer_)
        return;
    nextSearchForFormer_ = now + SearchForFormerInterval;
    for (const auto &address : seenRegistries_.withoutMember(status.members, otherSeeds()))
        introduceTo(address);
}

void RegistryProcess::introduceTo(const std::string &address)
{
    endpoint_->call(address, Wire::Method::IntroduceNode,
                    Wire::encode(Wire::IntroduceNodeRequest {settings_.nodeId, cluster_->incarnation(),
                                                             settings_.registryPeerAddress()}),
                    RaftMessageTimeout, [](const Base::Result<Base::Bytes> &) {});
}

bool RegistryProcess::isMember(const Consensus::RaftStatus &status) const
{
    return std::any_of(status.members.begin(), status.members.end(), [this](const auto &member) {
        return member.member.nodeId == settings_.nodeId
               && member.member.incarnation == cluster_->incarnation();
    });
}

std::string RegistryProcess::leaderAddress(const Consensus::RaftStatus &status) const
{
    for (const auto &member : status.members) {
        if (!status.leaderId.empty() && member.member.nodeId == status.leaderId)
            return member.member.peerAddress;
    }
    return {};
}

/// Peer addresses of the registries that the settings name, but for this one.
std::set<std::string> RegistryProcess::otherSeeds() const
{
    std::set<std::string> seeds;
    for (const auto &seed : settings_.seeds)
        seeds.insert(settings_.registryPeerAddress(seed));
    seeds.erase(settings_.registryPeerAddress());
    return seeds;
}

std::vector<std::string> RegistryProcess::knownRegistries() const
{
    auto known = otherSeeds();
    if (cluster_) {
        for (const auto &member : cluster_->raft().status(clock_.now()).members)
            known.insert(member.member.peerAddress);
    }
    known.insert(seenRegistries_.remembered().begin(), seenRegistries_.remembered().end());
    known.erase(settings_.registryPeerAddress());
    known.erase(std::string());
    return {known.begin(), known.end()};
}

void RegistryProcess::joinIfNeeded(Base::Instant now, const Consensus::RaftStatus &status)
{
    // A member that is being removed must not ask to be added again.
    if (now < nextJoin_ || leavingSince_)
        return;
    nextJoin_ = now + JoinInterval;
    Base::Duration leaderSilence {};
    for (const auto &member : status.members)
        leaderSilence = std::max(leaderSilence, member.silentFor);
    const bool lost = status.leaderId.empty() || leaderSilence > LeaderSilenceBeforeJoin;
    if (isMember(status) && !(lost && now - startedAt_ > LeaderSilenceBeforeJoin))
        return;
    const auto known = knownRegistries();
    if (known.empty())
        return;
    auto target = known[nextJoinTarget_++ % known.size()];
    if (const auto hint = joinHints_.find(target); hint != joinHints_.end()) {
        target = hint->second;
        joinHints_.erase(hint);
    }
    const Wire::JoinRequest request {
        settings_.nodeId,     cluster_->incarnation(),          settings_.registryPeerAddress(),
        cluster_->holdsLog(), !settings_.dataDirectory.empty(), cluster_->mayFound()};
    endpoint_->call(target, Wire::Method::JoinCluster, Wire::encode(request), JoinTimeout,
                    [this, target, incarnation = request.incarnation](Base::Result<Base::Bytes> payload) {
                        loop_.post([this, target, incarnation, payload = std::move(payload)] {
                            handleJoinReply(target, incarnation, payload);
                        });
                    });
}

void RegistryProcess::handleJoinReply(const std::string &address, std::uint64_t incarnation,
                                      const Base::Result<Base::Bytes> &payload)
{
    if (!payload || !cluster_)
        return; // Retried with the next target after JoinInterval.
    const auto reply = Wire::decode<Wire::JoinReply>(*payload);
    if (!reply)
        return;
    if (!reply->leaderAddress.empty())
        joinHints_[address] = reply->leaderAddress;
    // A late reply to an earlier incarnation must not reset the current one, which may be a voter already.
    if (incarnation != cluster_->incarnation())
        return;
    const auto now = clock_.now();
    if (reply->mustFound && cluster_->mayFound())
        return foundCluster(now, "appointed by the first registry of the settings");
    if (!reply->mustReset)
        return;
    events_.write(now, Importance::Notable, "removed_from_cluster",
                  {{"told_by", address}, {"incarnation", cluster_->incarnation()}});
    cluster_->core().failPendingSubmissions();
    cluster_.reset();
    settings_.firstStart = false; // The cluster still exists; this node must not bootstrap another one.
    if (auto reset = ClusterNode::reset(settings_); !reset)
        events_.write(now, Importance::Notable, "repair_failed", {{"detail", reset.error().detail}});
    openCluster(now);
}

Wire::JoinReply RegistryProcess::answerJoin(Base::Instant now, const Wire::JoinRequest &request)
{
    Wire::JoinReply reply;
    if (!cluster_)
        return reply;
    const auto status = cluster_->raft().status(now);
    // Only a leader that has applied an entry of its own term knows the newest membership.
    if (!cluster_->core().isUpToDateLeader(now)) {
        reply.leaderAddress = leaderAddress(status);
        if (founderSearch_) {
            reply.mustFound = founderSearch_->appoints(request);
            reply.leaderAddress = founderSearch_->founderAddress();
        }
        return reply;
    }
    addresses_.add(request.nodeId, request.incarnation, request.peerAddress);
    using JoinAnswer = Control::MembershipPlanner::JoinAnswer;
    const auto decision = Control::MembershipPlanner::join(
        status, {request.nodeId, request.incarnation, request.peerAddress, false, request.hasDisk},
        request.holdsLog);
    reply.isMember = decision.answer == JoinAnswer::IsMember;
    reply.mustReset = decision.answer == JoinAnswer::SetLogAside;
    if (decision.answer != JoinAnswer::IsMember && request.hasDisk)
        formation_.noteVoterOnItsWay();
    if (decision.answer != JoinAnswer::Add)
        return reply;
    if (cluster_->raft().proposeMembership(now, decision.membership))
        events_.write(now, Importance::Notable, "member_added",
                      {{"node", request.nodeId},
                       {"incarnation", request.incarnation},
                       {"address", request.peerAddress}});
    processReady();
    return reply;
}

} // namespace Services
