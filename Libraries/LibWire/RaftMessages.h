#pragma once

#include "LibBase/Bytes.h"
#include "LibWire/Codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wire {

enum class RaftMessageKind : std::uint8_t {
    PreVoteRequest,
    PreVoteReply,
    VoteRequest,
    VoteReply,
    AppendRequest, ///< Also the heartbeat.
    AppendReply,
    SnapshotRequest,
    SnapshotReply,
    RestartPollRequest, ///< Asks whether the receiver knows of a leader.
    RestartPollReply
};

enum class RaftEntryKind : std::uint8_t {
    Noop, ///< Committed by a new leader in its term.
    Command, ///< Payload of the replicated state machine.
    Membership ///< Payload is an encoded RaftMembership.
};

} // namespace Wire

MSGPACK_ADD_ENUM(Wire::RaftMessageKind);
MSGPACK_ADD_ENUM(Wire::RaftEntryKind);

namespace Wire {

/// One voter or learner. A new data directory gets a new incarnation and so a new identity.
struct RaftMember
{
    std::string nodeId;
    std::uint64_t incarnation = 0;
    std::string peerAddress;
    bool voter = true;
    bool hasDisk = true; ///< Otherwise it loses its log and its vote when its process ends.

    bool operator==(const RaftMember &) const = default;
    MSGPACK_DEFINE(nodeId, incarnation, peerAddress, voter, hasDisk)
};

struct RaftMembership
{
    std::vector<RaftMember> members;

    bool operator==(const RaftMembership &) const = default;
    MSGPACK_DEFINE(members)
};

struct RaftEntry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    RaftEntryKind kind = RaftEntryKind::Command;
    Base::Bytes payload;

    bool operator==(const RaftEntry &) const = default;
    MSGPACK_DEFINE(index, term, kind, payload)
};

/// State machine content up to `lastIndex`.
struct RaftSnapshot
{
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    RaftMembership membership;
    Base::Bytes payload;

    bool operator==(const RaftSnapshot &) const = default;
    MSGPACK_DEFINE(lastIndex, lastTerm, membership, payload)
};

/// All messages of the consensus protocol in one type; unused fields keep their defaults.
struct RaftMessage
{
    RaftMessageKind kind = RaftMessageKind::AppendRequest;
    std::string from;
    std::uint64_t fromIncarnation = 0;
    std::string to;
    std::uint64_t toIncarnation = 0;
    std::uint64_t term = 0;
    std::uint64_t previousIndex = 0; ///< Last log index in vote and restart poll requests.
    std::uint64_t previousTerm = 0; ///< Last log term in vote and restart poll requests.
    std::uint64_t commitIndex = 0;
    bool granted = false; ///< Vote granted, or append accepted.
    std::uint64_t matchIndex = 0; ///< Highest index known to match, or a hint where to retry.
    std::uint64_t sequence = 0; ///< Echoed in replies; tells the leader which heartbeat was answered.
    std::vector<RaftEntry> entries;
    RaftSnapshot snapshot;
    /// Restart poll replies: the sender's process. Vote requests after a restart poll: the process whose
    /// reply counted; 0 otherwise.
    std::uint64_t processId = 0;
    std::uint64_t uptimeUs = 0; ///< Restart poll replies: microseconds since the sender's process started.

    MSGPACK_DEFINE(kind, from, fromIncarnation, to, toIncarnation, term, previousIndex, previousTerm,
                   commitIndex, granted, matchIndex, sequence, entries, snapshot, processId, uptimeUs)
};

} // namespace Wire
