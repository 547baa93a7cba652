// Leaving the cluster before a planned stop.

#include "LibControl/MembershipPlanner.h"
#include "Services/Registry/RegistryProcess.h"

namespace Services {

namespace {

using Importance = Base::EventLog::Importance;
using LeaveAnswer = Control::MembershipPlanner::LeaveAnswer;

/// The removal takes two syncs and two round trips, so the leader is asked again after about that time.
constexpr Base::Duration LeaveInterval = Base::milliseconds(100);
constexpr Base::Duration LeaveTimeout = Base::milliseconds(800);
/// Fraction of the shutdown grace after which a registry stops as a member. The rest covers the end of the
/// process.
constexpr double LeaveFraction = 0.9;

Wire::LeaveVerdict verdictOf(LeaveAnswer answer)
{
    switch (answer) {
    case LeaveAnswer::Gone:
        return Wire::LeaveVerdict::Gone;
    case LeaveAnswer::Needed:
        return Wire::LeaveVerdict::Needed;
    case LeaveAnswer::Remove:
    case LeaveAnswer::Prepare:
    case LeaveAnswer::AskAgain:
        break;
    }
    return Wire::LeaveVerdict::AskAgain;
}

bool changesMembership(LeaveAnswer answer)
{
    return answer == LeaveAnswer::Remove || answer == LeaveAnswer::Prepare;
}

} // namespace

void RegistryProcess::beginLeaving()
{
    if (leavingSince_)
        return;
    const auto now = clock_.now();
    leavingSince_ = now;
    events_.write(now, Importance::Notable, "stopping", {{"node", settings_.nodeId}});
    continueLeaving(now);
}

// Until the removal is committed, this node votes and confirms entries as before, because the others may need
// it.
void RegistryProcess::continueLeaving(Base::Instant now)
{
    if (!cluster_)
        return finishLeaving(now, "no usable data directory");
    if (now - *leavingSince_ >= LeaveFraction * std::chrono::duration<double>(settings_.shutdownGrace))
        return finishLeaving(now, "not removed in time");
    const auto status = cluster_->raft().status(now);
    const Consensus::NodeIdentity self {settings_.nodeId, cluster_->incarnation()};
    const auto step = Control::MembershipPlanner::leave(status, self, targetVoterCount());
    if (step.answer == LeaveAnswer::Gone)
        return finishLeaving(now, "removed");
    if (step.answer == LeaveAnswer::Needed)
        return finishLeaving(now, "stays a member");
    if (!isLeader(now))
        return requestLeave(now, status);
    // The node refuses while an earlier change is not committed; the next tick retries.
    if (changesMembership(step.answer) && cluster_->raft().proposeMembership(now, step.membership))
        events_.write(now, Importance::Notable, "leave_proposed",
                      {{"node", settings_.nodeId}, {"removes", step.answer == LeaveAnswer::Remove}});
}

void RegistryProcess::requestLeave(Base::Instant now, const Consensus::RaftStatus &status)
{
    const auto leader = leaderAddress(status);
    if (now < nextLeaveRequest_ || leader.empty())
        return;
    nextLeaveRequest_ = now + LeaveInterval;
    const Wire::LeaveRequest request {settings_.nodeId, cluster_->incarnation()};
    endpoint_->call(leader, Wire::Method::LeaveCluster, Wire::encode(request), LeaveTimeout,
                    [this](const Base::Result<Base::Bytes> &payload) {
                        const auto reply = payload.and_then(
                            [](const Base::Bytes &bytes) { return Wire::decode<Wire::LeaveReply>(bytes); });
                        if (!reply)
                            return; // Retried after LeaveInterval, maybe with another leader.
                        loop_.post([this, verdict = reply->verdict] {
                            if (verdict == Wire::LeaveVerdict::Gone)
                                finishLeaving(clock_.now(), "removed");
                            else if (verdict == Wire::LeaveVerdict::Needed)
                                finishLeaving(clock_.now(), "stays a member");
                        });
                    });
}

void RegistryProcess::finishLeaving(Base::Instant now, std::string_view outcome)
{
    if (std::exchange(finishedLeaving_, true))
        return;
    events_.write(now, Importance::Notable, "membership_at_stop",
                  {{"outcome", outcome}, {"after_ms", (now - *leavingSince_) / Base::milliseconds(1)}});
    stop();
}

Wire::LeaveReply RegistryProcess::answerLeave(Base::Instant now, const Wire::LeaveRequest &request)
{
    // Only a leader that has applied an entry of its own term knows the newest membership.
    if (!cluster_ || !cluster_->core().isUpToDateLeader(now))
        return {};
    const auto step = Control::MembershipPlanner::leave(
        cluster_->raft().status(now), {request.nodeId, request.incarnation}, targetVoterCount());
    if (changesMembership(step.answer) && cluster_->raft().proposeMembership(now, step.membership)) {
        events_.write(now, Importance::Notable, "member_leaves",
                      {{"node", request.nodeId},
                       {"incarnation", request.incarnation},
                       {"removes", step.answer == LeaveAnswer::Remove}});
        processReady();
    }
    return {verdictOf(step.answer)};
}

} // namespace Services
