#include "LibRegistry/RegistryCore.h"

#include <utility>

namespace Registry {

namespace {

using Command = PendingCommands::Command;
using Kind = PendingCommands::Kind;
using Verdict = std::optional<PendingCommands::Outcome>;

/// Callers give up on a node after about a second; a later answer is useless.
constexpr Base::Duration CommandTimeout = Base::milliseconds(1500);

PendingCommands::Outcome replacedInLog()
{
    return Base::fail(Base::ErrorKind::OutcomeUnknown, "entry replaced by another leader's entry in the log");
}

} // namespace

void RegistryCore::submit(Base::Instant now, std::uint64_t version, const std::string &text,
                          const SubmitCallback &callback)
{
    // Applied entries are durable on a majority, so any node may confirm a version that is not newer.
    if (register_.version() >= version)
        return callback(register_.version());
    if (!raft_.isLeader(now))
        return callback(Base::fail(Base::ErrorKind::NotLeader));
    const auto index = raft_.propose(now, Wire::encode(StoreConfiguration {version, text}));
    if (!index)
        return callback(tl::unexpected(index.error()));
    pending_.add({Kind::Configuration, *index, 0, version, now + CommandTimeout, callback});
}

void RegistryCore::orderEvacuation(Base::Instant now, const std::string &dataCentre, bool evacuated,
                                   std::uint64_t heldRevision, const EvacuationCallback &callback)
{
    const auto term = raft_.status(now).term;
    // An order that this leader has in the log will be applied before a further one. One of an earlier term
    // may have been replaced there.
    const bool isOutstanding = lastOrderIndex_ > appliedIndex_ && lastOrderTerm_ == term;
    const auto newest = isOutstanding ? lastOrderIndex_ : evacuations_.revision();
    if (!isUpToDateLeader(now))
        return callback(Base::fail(Base::ErrorKind::NotLeader));
    if (heldRevision < newest)
        return callback(Base::fail(Base::ErrorKind::RevisionConflict, "a later evacuation order is known"));
    if (evacuated && !evacuations_.hasRoomFor(dataCentre))
        return callback(Base::fail(Base::ErrorKind::InvalidRequest, "too many data centres are evacuated"));
    const auto index = raft_.propose(
        now, Wire::encode(OrderEvacuation {std::string(OrderEvacuation::Tag), dataCentre, evacuated}));
    if (!index)
        return callback(tl::unexpected(index.error()));
    lastOrderIndex_ = *index;
    lastOrderTerm_ = term;
    pending_.add({Kind::EvacuationOrder, *index, term, 0, now + CommandTimeout, callback});
}

bool RegistryCore::isUpToDateLeader(Base::Instant now) const
{
    return raft_.isLeader(now) && appliedTerm_ == raft_.status(now).term;
}

std::optional<Base::Instant> RegistryCore::confirmedAt(Base::Instant now) const
{
    const auto at = raft_.confirmedAt(now);
    return at && appliedTerm_ == raft_.status(now).term ? at : std::nullopt;
}

Base::Result<bool> RegistryCore::handleReady(const Consensus::Ready &ready)
{
    bool changed = false;
    if (ready.restore) {
        if (auto restored = restore(ready.restore->payload); !restored)
            return tl::unexpected(restored.error());
        appliedIndex_ = ready.restore->lastIndex;
        appliedTerm_ = ready.restore->lastTerm;
        // The snapshot does not tell whose entries it covers.
        completeOrders(appliedIndex_, 0);
        changed = true;
    }
    for (const auto &entry : ready.committed) {
        const auto applied = apply(entry);
        if (!applied)
            return tl::unexpected(applied.error());
        changed = changed || *applied;
        appliedIndex_ = entry.index;
        appliedTerm_ = entry.term;
        completeOrders(entry.index, entry.term);
    }
    completeAppliedSubmissions();
    return changed;
}

Base::Result<bool> RegistryCore::apply(const Wire::RaftEntry &entry)
{
    if (entry.kind == Wire::RaftEntryKind::Command) {
        if (const auto order = decodeEvacuation(entry.payload)) {
            evacuations_.apply(entry.index, *order);
            return true;
        }
    }
    return register_.apply(entry);
}

/// A deployment without evacuation orders keeps the form that earlier releases read.
Base::Bytes RegistryCore::snapshot() const
{
    const auto &content = register_.content();
    if (evacuations_.revision() == 0)
        return Wire::encode(content);
    return Wire::encode(RegistrySnapshot {content.version, content.text, evacuations_.revision(),
                                          evacuations_.dataCentres()});
}

Base::Result<void> RegistryCore::restore(Base::ByteView snapshot)
{
    auto content = Wire::decode<RegistrySnapshot>(snapshot);
    if (!content)
        return Base::fail(Base::ErrorKind::CorruptData, "registry snapshot cannot be decoded");
    register_.restore({content->version, std::move(content->text)});
    evacuations_.restore(content->evacuationRevision, content->evacuatedDataCentres);
    return {};
}

/// Ends the orders up to `index`. The entry there is the proposed one if its term is the same.
void RegistryCore::completeOrders(std::uint64_t index, std::uint64_t term)
{
    pending_.settle(Kind::EvacuationOrder, [&](const Command &order) -> Verdict {
        if (order.index > index)
            return std::nullopt;
        return order.index == index && order.term == term ? evacuations_.revision() : replacedInLog();
    });
}

// The entry at a submission's index may come from another leader. The current version decides: if it is not
// lower, the submission was stored or superseded, regardless of who proposed it.
void RegistryCore::completeAppliedSubmissions()
{
    pending_.settle(Kind::Configuration, [this](const Command &submission) -> Verdict {
        if (register_.version() >= submission.version)
            return register_.version();
        return submission.index <= appliedIndex_ ? Verdict(replacedInLog()) : std::nullopt;
    });
}

void RegistryCore::failPendingSubmissions()
{
    pending_.failAll("node is shutting down or its store was closed");
}

} // namespace Registry
