#pragma once

#include "LibConsensus/RaftNode.h"
#include "LibRegistry/ConfigurationRegister.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Registry {

/// Stores and reads configurations through the replicated log. Decision logic of one node; no I/O.
class RegistryCore
{
public:
    /// Receives the current version after the submission.
    using SubmitCallback = std::function<void(Base::Result<std::uint64_t>)>;

    explicit RegistryCore(Consensus::RaftNode &raft)
        : raft_(raft)
    {
    }

    /// Completes once this version or a higher one is durable on a majority. NotLeader if this node is not
    /// the leader, OutcomeUnknown if leadership was lost in the meantime or no majority responded.
    void submit(Base::Instant now, std::uint64_t version, const std::string &text,
                const SubmitCallback &callback);

    /// True if this node holds the newest accepted configuration: it leads, has heard from a majority within
    /// the election timeout, and has applied an entry of its own term.
    bool isUpToDateLeader(Base::Instant now) const;

    /// The latest instant for which this node is certain that no configuration above the one it holds had
    /// been accepted. Nothing unless it leads and has applied an entry of its own term.
    std::optional<Base::Instant> confirmedAt(Base::Instant now) const;

    /// Applies the snapshot and committed entries of the Raft node. Returns true if the configuration
    /// changed.
    Base::Result<bool> handleReady(const Consensus::Ready &ready);

    /// Fails submissions that have reached their deadline.
    void tick(Base::Instant now);
    /// Fails all pending submissions with OutcomeUnknown.
    void failPendingSubmissions();

    const ConfigurationRegister &configuration() const { return register_; }
    std::uint64_t appliedIndex() const { return appliedIndex_; }

private:
    struct PendingSubmission
    {
        std::uint64_t index = 0; ///< Log index of the command.
        std::uint64_t version = 0;
        Base::Instant deadline;
        SubmitCallback callback;
    };

    void completeAppliedSubmissions();

    Consensus::RaftNode &raft_;
    ConfigurationRegister register_;
    std::vector<PendingSubmission> pending_;
    std::uint64_t appliedIndex_ = 0;
    std::uint64_t appliedTerm_ = 0; ///< Term of the last entry applied.
};

} // namespace Registry
