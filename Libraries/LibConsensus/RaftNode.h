#pragma once

#include "LibBase/Error.h"
#include "LibBase/RandomSource.h"
#include "LibBase/Time.h"
#include "LibConsensus/LogStore.h"
#include "LibWire/RaftMessages.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Consensus {

enum class Role : std::uint8_t { Learner, Follower, PreCandidate, Candidate, Leader };

struct RaftOptions
{
    std::string nodeId;
    std::string peerAddress;
    /// Members of a new cluster, the same list at all of them, each with the incarnation of its store. Used
    /// only when the store is empty; then it must name this node's identity, or create() gives
    /// SettingInvalid. Empty for a node that joins an existing cluster.
    std::vector<Wire::RaftMember> initialMembers;
    Base::Duration heartbeatInterval = Base::milliseconds(100);
    Base::Duration electionTimeout = Base::milliseconds(600); ///< Randomised up to twice this value.
    std::uint64_t seed = 0;
    /// Payload per append message, which holds at least one entry; larger messages would delay the heartbeats
    /// queued behind them.
    std::size_t maxBatchBytes = std::size_t {1024} * 1024;
};

/// Work that the caller must carry out after each step, in this order: restore, apply, send.
struct Ready
{
    std::optional<Wire::RaftSnapshot> restore; ///< Replaces the state machine's content.
    std::vector<Wire::RaftEntry> committed; ///< To apply in order; includes Noop and Membership entries.
    std::vector<Wire::RaftMessage> messages;
};

/// Replication progress of a member and time since it was last heard from, for status output.
struct MemberStatus
{
    Wire::RaftMember member;
    std::uint64_t matchIndex = 0;
    Base::Duration silentFor {}; ///< Known at the leader for all members, elsewhere for the leader only.
};

struct RaftStatus
{
    Role role = Role::Follower;
    std::uint64_t term = 0;
    std::string leaderId; ///< Empty while unknown.
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t membershipIndex = 0; ///< Entry that `members` come from; above commitIndex until committed.
    bool isolated = false; ///< No contact with a majority for three election timeouts.
    Base::Duration isolatedFor {};
    std::vector<MemberStatus> members;
};

inline std::size_t voterCount(const RaftStatus &status)
{
    return static_cast<std::size_t>(std::count_if(status.members.begin(), status.members.end(),
                                                  [](const auto &member) { return member.member.voter; }));
}

/// Raft state machine of one node. It does no I/O except through the store, and callers pass the time.
class RaftNode
{
public:
    static Base::Result<std::unique_ptr<RaftNode>> create(RaftOptions options, LogStore &store,
                                                          Base::Instant now);
    virtual ~RaftNode() = default;

    virtual void tick(Base::Instant now) = 0;
    virtual void receive(Base::Instant now, const Wire::RaftMessage &message) = 0;

    /// Appends a command; returns its index, or NotLeader.
    virtual Base::Result<std::uint64_t> propose(Base::Instant now, Base::Bytes payload) = 0;
    /// Starts a change of one member: adds a learner, promotes a caught-up learner, or removes a member.
    virtual Base::Result<std::uint64_t> proposeMembership(Base::Instant now,
                                                          Wire::RaftMembership membership) = 0;

    /// Syncs the store once, then returns the work that has become safe. A storage error is fatal for the
    /// process.
    virtual Base::Result<Ready> takeReady(Base::Instant now) = 0;

    /// Replaces log entries up to `index` (applied) by a snapshot with this state machine content.
    virtual Base::Result<void> compact(std::uint64_t index, Base::Bytes payload) = 0;

    /// True while this node leads and has had replies from a majority within the election timeout.
    virtual bool isLeader(Base::Instant now) const = 0;
    /// The latest instant at which this node is certain to have been the only leader: a majority has answered
    /// a request of its term that it sent then. Nothing on other nodes.
    virtual std::optional<Base::Instant> confirmedAt(Base::Instant now) const = 0;
    virtual RaftStatus status(Base::Instant now) const = 0;
};

} // namespace Consensus
