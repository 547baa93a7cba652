#include "Services/Control/MembershipDesk.h"

#include "LibControl/MembershipPlanner.h"

#include <utility>

namespace Services {

using Base::ErrorKind;
using Base::LogLevel;
using Control::MembershipPlanner;

void MembershipDesk::add(Base::Instant now, const std::string &nodeId, const std::string &peerAddress,
                         const Done &done)
{
    if (!raft_.isLeader(now))
        return done(Base::fail(ErrorKind::NotLeader));
    identify_(peerAddress, [this, nodeId, peerAddress, done](Base::Instant repliedAt, const auto &reply) {
        if (!reply)
            return done(tl::unexpected(reply.error()));
        if (reply->nodeId != nodeId)
            return done(Base::fail(ErrorKind::InvalidRequest, "the node there is " + reply->nodeId));
        addIdentified(repliedAt, {nodeId, reply->incarnation, peerAddress, false}, reply->holdsLog, done);
    });
}

void MembershipDesk::addIdentified(Base::Instant now, const Wire::RaftMember &member, bool holdsLog,
                                   const Done &done)
{
    const auto status = raft_.status(now);
    auto membership = MembershipPlanner::present(status);
    for (const auto &present : membership.members) {
        // A resent request finds its node already added.
        if (present.nodeId == member.nodeId && present.incarnation == member.incarnation)
            return done(present);
    }
    // Entries of another cluster would pass for entries of this one.
    if (holdsLog)
        return done(Base::fail(ErrorKind::InvalidRequest, "the node holds the log of a cluster"));
    membership.members.push_back(member);
    propose(now, membership, member, done);
}

void MembershipDesk::remove(Base::Instant now, const std::string &nodeId, const Done &done)
{
    if (!raft_.isLeader(now))
        return done(Base::fail(ErrorKind::NotLeader));
    const auto status = raft_.status(now);
    const auto member = MembershipPlanner::findUnheard(status, nodeId);
    if (!member)
        return done(Base::fail(ErrorKind::InvalidRequest, "there is no unheard member with this id"));
    propose(now, MembershipPlanner::without(MembershipPlanner::present(status), *member), *member, done);
}

void MembershipDesk::propose(Base::Instant now, const Wire::RaftMembership &membership,
                             const Wire::RaftMember &member, const Done &done)
{
    const auto index = raft_.proposeMembership(now, membership);
    if (!index)
        return done(tl::unexpected(index.error()));
    onEvent_(LogLevel::Info, "Membership change proposed.",
             {{"node", member.nodeId}, {"incarnation", member.incarnation}, {"index", *index}});
    waiting_.push_back({*index, member, done});
}

void MembershipDesk::tick(Base::Instant now)
{
    const auto status = raft_.status(now);
    const auto term = raft_.isLeader(now) ? status.term : 0;
    if (term != term_) {
        abandon();
        term_ = term;
    }
    if (term_ == 0)
        return;
    std::vector<Waiting> later;
    for (auto &item : std::exchange(waiting_, {})) {
        if (item.index <= status.commitIndex)
            item.done(item.member);
        else
            later.push_back(std::move(item));
    }
    waiting_ = std::move(later);
    if (waiting_.empty())
        takeRepairStep(now, status);
}

void MembershipDesk::takeRepairStep(Base::Instant now, const Consensus::RaftStatus &status)
{
    // Each node that can vote does.
    const auto next = MembershipPlanner::next(status, status.members.size());
    // The node refuses while an earlier change is not committed; the next tick tries again.
    if (next && raft_.proposeMembership(now, *next))
        onEvent_(LogLevel::Info, "Repair step proposed.",
                 {{"members_before", status.members.size()}, {"members_after", next->members.size()}});
}

void MembershipDesk::abandon()
{
    for (const auto &item : std::exchange(waiting_, {}))
        item.done(Base::fail(ErrorKind::OutcomeUnknown, "leadership was lost before the commit"));
}

} // namespace Services
