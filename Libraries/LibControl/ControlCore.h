#pragma once

#include "LibConfiguration/DocumentParser.h"
#include "LibConsensus/RaftNode.h"
#include "LibControl/ControlState.h"
#include "LibControl/EventSink.h"
#include "LibControl/LeaseTable.h"
#include "LibControl/PromotionTracker.h"
#include "LibControl/PromotionWaiters.h"
#include "LibControl/ProposalTable.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Control {

struct ControlCoreOptions
{
    std::string environment; ///< Documents for another environment are refused.
    Base::Duration leaseDuration = Base::seconds(3); ///< Sent to entry processes in renewal replies.
    Base::Duration operatorTimeout = Base::seconds(15); ///< Longest wait for the end of a promotion.
    /// Time between the first serving entry process and the first assignment, so that processes that start
    /// together get balanced shares without later moves.
    Base::Duration firstAssignmentDelay = Base::seconds(1);
    std::function<Configuration::ParseOutcome(std::string_view)> parse;
    EventSink onEvent;
};

/// Result of a document submission.
struct SubmitResult
{
    std::string documentHash;
    std::string environment;
    std::vector<Configuration::Mistake> mistakes; ///< Not empty means that nothing was stored.
};

/// Request handling of one control process: accepts calls from entry processes and operators, proposes
/// commands and replies once they are applied.
///
/// A change is reported as successful only after its commit. A process that is not the leader, or has lost
/// contact with a majority, replies NotLeader. Single-threaded; completion handlers run inside the calls.
class ControlCore
{
public:
    template<typename Value>
    using Done = std::function<void(Base::Result<Value>)>;

    ControlCore(ControlCoreOptions options, Consensus::RaftNode &raft);

    /// Applies snapshots and committed entries to the state machine. An error is fatal for the process.
    Base::Result<void> handleReady(Base::Instant now, const Consensus::Ready &ready);

    /// Updates the leadership state, expires leases and deadlines, and plans shares.
    void tick(Base::Instant now);

    void renewLease(Base::Instant now, const Wire::RenewLeaseRequest &request,
                    const Done<Wire::RenewLeaseReply> &done);
    void claim(Base::Instant now, Base::WallMilliseconds wallNow, const Wire::ClaimRequestMessage &request,
               Done<Wire::ClaimRequestReply> done);
    void recordOutcome(Base::Instant now, const Wire::RecordOutcomeRequest &request,
                       Done<Wire::RecordOutcomeReply> done);
    void submitDocument(Base::Instant now, const std::string &text, Done<SubmitResult> done);
    void promote(Base::Instant now, const ProposePromotion &request, const PromotionDone &done);

    /// Fails all requests in flight and refuses later ones with ShuttingDown.
    void beginShutDown();

    /// True while this process leads, has recent contact with a majority and has applied all earlier entries.
    bool isReady(Base::Instant now) const;

    const ControlState &state() const { return state_; }
    const LeaseTable &leases() const { return leases_; }
    /// The document in force, or null.
    const Configuration::Document *document() const { return document_ ? &*document_ : nullptr; }
    /// Index of the last log entry applied, of any kind.
    std::uint64_t appliedIndex() const { return appliedIndex_; }

private:
    template<typename Value>
    static ProposalTable::Done extractValue(Done<Value> done);

    std::optional<Base::Error> availabilityError(Base::Instant now);
    void propose(Base::Instant now, const Command &command, ProposalTable::Done done);
    Base::Result<void> restore(const Wire::RaftSnapshot &snapshot);
    Base::Result<void> applyEntry(Base::Instant now, const Wire::RaftEntry &entry);
    void afterApply(const Command &command, const Base::Result<ApplyValue> &result);
    void reportPromotion(const PromotionResult &result);
    void loadDocument();

    void updateLeadership(Base::Instant now);
    void stepDown();
    void becomeReady(Base::Instant now);

    std::optional<Base::Error> renewalError(const Wire::RenewLeaseRequest &request) const;
    void deregisterEntry(Base::Instant now, const Wire::RenewLeaseRequest &request,
                         const Done<Wire::RenewLeaseReply> &done);
    void proposeReleases(Base::Instant now, const Wire::RenewLeaseRequest &request);
    Wire::RenewLeaseReply renewalReply(std::uint64_t heldVersion) const;
    void expireLeases(Base::Instant now);

    void proposePromotion(Base::Instant now, const ProposePromotion &request, Base::Instant deadline,
                          const PromotionDone &done);
    void resumeQueuedPromotions(Base::Instant now);
    void decidePromotion(Base::Instant now);
    std::vector<std::string> liveEntries(Base::Instant now) const;

    void planShares(Base::Instant now);
    bool mustDelayFirstAssignment(Base::Instant now, bool anyEntry);

    ControlCoreOptions options_;
    Consensus::RaftNode &raft_;
    ControlState state_;
    LeaseTable leases_;
    PromotionTracker tracker_;
    PromotionWaiters waiters_;
    ProposalTable proposals_;
    std::optional<Configuration::Document> document_;
    std::string documentHash_; ///< Of `document_`.

    std::uint64_t appliedIndex_ = 0;
    std::uint64_t appliedTerm_ = 0;
    std::uint64_t leadingTerm_ = 0; ///< 0 while this process does not lead.
    bool ready_ = false;
    bool shuttingDown_ = false;
    std::uint64_t decidedRevision_ = 0; ///< Proposal whose acceptance or abort is in the log.
    std::uint64_t plannedVersion_ = 0; ///< Directory version that the last plan was based on.
    int planProposals_ = 0; ///< Commands of the last plan that are not applied yet.
    std::optional<Base::Instant> firstServingAt_;
    std::set<std::pair<std::string, std::uint64_t>> releasing_; ///< Server and epoch of proposed releases.
};

} // namespace Control
