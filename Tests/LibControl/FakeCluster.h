#pragma once

#include "FakeRaftNode.h"
#include "LibControl/ControlCore.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace Tests {

/// Three control processes over fake Raft nodes, with one committed log and a clock that the test advances.
class FakeCluster
{
public:
    struct Node
    {
        Node(const std::string &nodeId, Control::ControlCoreOptions options)
            : raft(nodeId)
            , core(std::move(options), raft)
        {
        }

        FakeRaftNode raft;
        Control::ControlCore core;
        std::size_t appliedEntries = 0; ///< Number of log entries passed to the core.
    };

    FakeCluster();

    /// Makes node `index` the leader of a new term. Uncommitted entries of the old leader are passed to the
    /// new one if `keepUncommitted` is set, and are dropped otherwise.
    void elect(std::size_t index, bool keepUncommitted = false);

    /// Commits the proposals of the leader and applies them on all nodes, until no proposal is left.
    void commit();

    /// Advances the clock in steps of 50 ms, with a tick and a commit after each.
    void advance(Base::Duration duration);

    Control::ControlCore &leader() { return nodes[leaderIndex]->core; }
    const Control::ControlContent &content() { return leader().state().content(); }

    /// Submits document `text` and returns its hash.
    std::string submit(const std::string &text);
    /// Starts a promotion; the result is stored in the returned object once available.
    std::shared_ptr<std::optional<Base::Result<Control::PromotionResult>>>
    promote(const std::string &hash, std::uint64_t base, const std::string &changeId);
    /// Sends one renewal and commits; empty if no reply was received.
    std::optional<Base::Result<Wire::RenewLeaseReply>> renew(const Wire::RenewLeaseRequest &request);
    Base::Result<Wire::ClaimRequestReply> claim(const Wire::ClaimRequestMessage &request);
    Base::Result<Wire::RecordOutcomeReply> record(const Wire::RecordOutcomeRequest &request);

    /// Returns a renewal by a serving entry process that has staged everything up to `staged`.
    static Wire::RenewLeaseRequest renewal(const std::string &entryId, std::uint64_t staged = 0,
                                           std::uint64_t incarnation = 1);

    /// Document "two-by-N" has N shards with two replicas each; any other text is a mistake.
    static Configuration::ParseOutcome parse(std::string_view text);

    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Wire::RaftEntry> log;
    std::vector<std::string> trace; ///< Log lines of all nodes.
    std::size_t leaderIndex = 0;
    Base::Instant now = Base::Instant(Base::seconds(1000));
    Base::WallMilliseconds wallNow = 1'700'000'000'000;

private:
    void applyCommitted(Node &node);

    std::uint64_t term_ = 0;
};

} // namespace Tests
