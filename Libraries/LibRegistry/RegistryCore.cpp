#include "LibRegistry/RegistryCore.h"

#include <utility>

namespace Registry {

namespace {

/// Callers give up on a node after about a second; a later answer is useless.
constexpr Base::Duration SubmissionTimeout = Base::milliseconds(1500);

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
    pending_.push_back({*index, version, now + SubmissionTimeout, callback});
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
        if (auto restored = register_.restore(ready.restore->payload); !restored)
            return tl::unexpected(restored.error());
        appliedIndex_ = ready.restore->lastIndex;
        appliedTerm_ = ready.restore->lastTerm;
        changed = true;
    }
    for (const auto &entry : ready.committed) {
        const auto applied = register_.apply(entry);
        if (!applied)
            return tl::unexpected(applied.error());
        changed = changed || *applied;
        appliedIndex_ = entry.index;
        appliedTerm_ = entry.term;
    }
    completeAppliedSubmissions();
    return changed;
}

// The entry at a submission's index may come from another leader. The current version decides: if it is not
// lower, the submission was stored or superseded, regardless of who proposed it.
void RegistryCore::completeAppliedSubmissions()
{
    std::vector<PendingSubmission> remaining;
    for (auto &item : std::exchange(pending_, {})) {
        if (register_.version() >= item.version)
            item.callback(register_.version());
        else if (item.index <= appliedIndex_)
            item.callback(Base::fail(Base::ErrorKind::OutcomeUnknown,
                                     "entry replaced by another leader's entry in the log"));
        else
            remaining.push_back(std::move(item));
    }
    pending_ = std::move(remaining);
}

void RegistryCore::tick(Base::Instant now)
{
    std::vector<PendingSubmission> remaining;
    for (auto &item : std::exchange(pending_, {})) {
        if (now >= item.deadline)
            item.callback(Base::fail(Base::ErrorKind::OutcomeUnknown,
                                     "no majority confirmed the configuration before the timeout"));
        else
            remaining.push_back(std::move(item));
    }
    pending_ = std::move(remaining);
}

void RegistryCore::failPendingSubmissions()
{
    for (const auto &item : std::exchange(pending_, {}))
        item.callback(
            Base::fail(Base::ErrorKind::OutcomeUnknown, "node is shutting down or its store was closed"));
}

} // namespace Registry
