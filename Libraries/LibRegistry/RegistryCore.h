#pragma once

#include "LibConsensus/RaftNode.h"
#include "LibRegistry/ConfigurationRegister.h"

#include <functional>
#include <string>
#include <vector>

namespace Registry {

/// Accepts and reads configurations through the replicated log. Decisions of one node; no I/O.
class RegistryCore
{
public:
    /// Receives the version held after the submission.
    using Stored = std::function<void(Base::Result<std::uint64_t>)>;

    explicit RegistryCore(Consensus::RaftNode &raft)
        : raft_(raft)
    {
    }

    /// Answers once a version that is at least this high is durable on a majority. NotLeader when this node
    /// cannot decide, OutcomeUnknown when leadership was lost meanwhile or the majority stays silent.
    void submit(Base::Instant now, std::uint64_t version, const std::string &text, const Stored &done);

    /// True when the configuration held is the newest accepted one: this node leads, has heard a majority
    /// within the election timeout, and has applied an entry of its own term.
    bool isNewest(Base::Instant now) const;

    /// Applies what the node delivered. Returns true when the configuration changed.
    Base::Result<bool> handleReady(const Consensus::Ready &ready);

    /// Ends submissions that waited too long or whose leader is another node by now.
    void tick(Base::Instant now);
    /// Answers all waiting submissions with OutcomeUnknown.
    void abandon();

    const ConfigurationRegister &configuration() const { return register_; }
    std::uint64_t appliedIndex() const { return appliedIndex_; }

private:
    struct Waiting
    {
        std::uint64_t index = 0; ///< Log index of the command.
        std::uint64_t version = 0;
        Base::Instant deadline;
        Stored done;
    };

    void answerApplied();

    Consensus::RaftNode &raft_;
    ConfigurationRegister register_;
    std::vector<Waiting> waiting_;
    std::uint64_t appliedIndex_ = 0;
    std::uint64_t appliedTerm_ = 0; ///< Term of the last entry applied.
};

} // namespace Registry
