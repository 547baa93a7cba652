#pragma once

#include "LibConsensus/RaftNode.h"

namespace Tests {

/// Raft node whose role and log are set by the test. Proposals stay in `uncommitted` until the test commits
/// them.
class FakeRaftNode final : public Consensus::RaftNode
{
public:
    explicit FakeRaftNode(std::string nodeId)
        : nodeId_(std::move(nodeId))
    {
    }

    void tick(Base::Instant) override { }
    void receive(Base::Instant, const Wire::RaftMessage &) override { }

    Base::Result<std::uint64_t> propose(Base::Instant, Base::Bytes payload) override
    {
        if (!leads)
            return Base::fail(Base::ErrorKind::NotLeader);
        const auto index = committedIndex + uncommitted.size() + 1;
        uncommitted.push_back({index, term, Wire::RaftEntryKind::Command, std::move(payload)});
        return index;
    }

    Base::Result<std::uint64_t> proposeMembership(Base::Instant, Wire::RaftMembership) override
    {
        return Base::fail(Base::ErrorKind::NotLeader);
    }

    Base::Result<Consensus::Ready> takeReady(Base::Instant) override { return Consensus::Ready {}; }
    Base::Result<void> compact(std::uint64_t, Base::Bytes) override { return {}; }
    bool isLeader(Base::Instant) const override { return leads && hasQuorum; }
    std::optional<Base::Instant> confirmedAt(Base::Instant) const override
    {
        return leads ? std::optional(majorityHeardAt) : std::nullopt;
    }

    Consensus::RaftStatus status(Base::Instant) const override
    {
        Consensus::RaftStatus status;
        status.role = leads ? Consensus::Role::Leader : Consensus::Role::Follower;
        status.term = term;
        status.leaderId = leaderId;
        for (const auto *member : {"c1", "c2", "c3"})
            status.members.push_back({{member, 1, std::string(member) + ":9", true}, 0, {}});
        return status;
    }

    bool leads = false;
    bool hasQuorum = true;
    Base::Instant majorityHeardAt;
    std::uint64_t term = 0;
    std::uint64_t committedIndex = 0;
    std::string leaderId;
    std::vector<Wire::RaftEntry> uncommitted;

private:
    std::string nodeId_;
};

} // namespace Tests
