#pragma once

#include "LibConsensus/RaftNode.h"
#include "LibRegistry/ConfigurationRegister.h"
#include "LibRegistry/EvacuationRegister.h"
#include "LibRegistry/PendingCommands.h"

#include <optional>
#include <string>
#include <vector>

namespace Registry {

/// Content of a snapshot. One from before evacuations has only the first two fields.
struct RegistrySnapshot
{
    std::uint64_t version = 0;
    std::string text;
    std::uint64_t evacuationRevision = 0;
    std::vector<std::string> evacuatedDataCentres;

    MSGPACK_DEFINE(version, text, evacuationRevision, evacuatedDataCentres)
};

/// Stores and reads configurations and evacuation orders through the replicated log. Decision logic of one
/// node; no I/O.
class RegistryCore
{
public:
    /// Receives the current version after the submission.
    using SubmitCallback = PendingCommands::Callback;

    explicit RegistryCore(Consensus::RaftNode &raft)
        : raft_(raft)
    {
    }

    /// Completes once this version or a higher one is durable on a majority. NotLeader if this node is not
    /// the leader, OutcomeUnknown if leadership was lost in the meantime or no majority responded.
    void submit(Base::Instant now, std::uint64_t version, const std::string &text,
                const SubmitCallback &callback);

    /// Receives the revision of the order.
    using EvacuationCallback = PendingCommands::Callback;

    /// Completes once the order is durable on a majority. `heldRevision` is that of the last order which the
    /// process that took the operator's call had applied: an order that is based on an earlier revision than
    /// the last one may have been delayed on its way and was perhaps taken back since, so it is refused with
    /// RevisionConflict. NotLeader and OutcomeUnknown as for submit().
    void orderEvacuation(Base::Instant now, const std::string &dataCentre, bool evacuated,
                         std::uint64_t heldRevision, const EvacuationCallback &callback);

    /// True if this node holds the newest accepted configuration: it leads, has heard from a majority within
    /// the election timeout, and has applied an entry of its own term.
    bool isUpToDateLeader(Base::Instant now) const;

    /// The latest instant for which this node is certain that no configuration above the one it holds had
    /// been accepted. Nothing unless it leads and has applied an entry of its own term.
    std::optional<Base::Instant> confirmedAt(Base::Instant now) const;

    /// Applies the snapshot and committed entries of the Raft node. Returns true if the configuration or the
    /// evacuations changed.
    Base::Result<bool> handleReady(const Consensus::Ready &ready);

    /// Fails submissions and orders that have reached their deadline.
    void tick(Base::Instant now) { pending_.expire(now); }
    /// Fails all pending submissions and orders with OutcomeUnknown.
    void failPendingSubmissions();

    const ConfigurationRegister &configuration() const { return register_; }
    const EvacuationRegister &evacuations() const { return evacuations_; }
    /// Encodes the applied state.
    Base::Bytes snapshot() const;
    std::uint64_t appliedIndex() const { return appliedIndex_; }

private:
    Base::Result<bool> apply(const Wire::RaftEntry &entry);
    Base::Result<void> restore(Base::ByteView snapshot);
    void completeAppliedSubmissions();
    void completeOrders(std::uint64_t index, std::uint64_t term);

    Consensus::RaftNode &raft_;
    ConfigurationRegister register_;
    EvacuationRegister evacuations_;
    std::uint64_t lastOrderIndex_ = 0; ///< Of the last order that this node proposed, in `lastOrderTerm_`.
    std::uint64_t lastOrderTerm_ = 0;
    PendingCommands pending_;
    std::uint64_t appliedIndex_ = 0;
    std::uint64_t appliedTerm_ = 0; ///< Term of the last entry applied.
};

} // namespace Registry
