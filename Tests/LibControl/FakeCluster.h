#pragma once

#include "FakeRaftNode.h"
#include "LibControl/ControlCore.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace Tests {

/// Three control processes over fake Raft nodes, with one committed log and a clock that the test moves.
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
        std::size_t delivered = 0; ///< Entries of the log that the core has applied.
    };

    FakeCluster();

    /// Makes `index` the leader of a new term. Entries that the old leader has not committed are kept by the
    /// new leader or lost.
    void elect(std::size_t index, bool keepUncommitted = false);

    /// Commits what the leader has proposed and applies it on all nodes, until nothing is left.
    void commit();

    /// Moves the clock in steps of 50 ms, with a tick and a commit in each.
    void advance(Base::Duration duration);

    Control::ControlCore &leader() { return nodes[leaderIndex]->core; }
    const Control::ControlContent &content() { return leader().state().content(); }

    /// Submits document `text` and returns its hash.
    std::string submit(const std::string &text);
    /// Starts a promotion; the result appears in the returned place when it is answered.
    std::shared_ptr<std::optional<Base::Result<Control::PromotionResult>>>
    promote(const std::string &hash, std::uint64_t base, const std::string &changeId);
    /// Sends one renewal and commits; empty when it got no answer.
    std::optional<Base::Result<Wire::RenewLeaseReply>> renew(const Wire::RenewLeaseRequest &request);
    Base::Result<Wire::ClaimRequestReply> claim(const Wire::ClaimRequestMessage &request);
    Base::Result<Wire::RecordOutcomeReply> record(const Wire::RecordOutcomeRequest &request);

    /// Returns a renewal by a serving entry process that has staged everything up to `staged`.
    static Wire::RenewLeaseRequest renewal(const std::string &entryId, std::uint64_t staged = 0,
                                           std::uint64_t incarnation = 1);

    /// Document "two-by-N" has N shards with two replicas each; other names are mistakes.
    static Configuration::ParseOutcome parse(std::string_view text);

    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Wire::RaftEntry> log;
    std::vector<std::string> trace; ///< Events of all nodes.
    std::size_t leaderIndex = 0;
    Base::Instant now = Base::Instant(Base::seconds(1000));
    Base::WallMilliseconds wallNow = 1'700'000'000'000;

private:
    void deliver(Node &node);

    std::uint64_t term_ = 0;
};

} // namespace Tests
