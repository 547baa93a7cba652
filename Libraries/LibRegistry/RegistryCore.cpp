#include "LibRegistry/RegistryCore.h"

#include <utility>

namespace Registry {

namespace {

/// Callers give up on a node after about a second; an answer after that reaches nobody.
constexpr Base::Duration SubmissionTimeout = Base::milliseconds(1500);

} // namespace

void RegistryCore::submit(Base::Instant now, std::uint64_t version, const std::string &text,
                          const Stored &done)
{
    // What is applied is durable on a majority already, so any node may confirm that it was overtaken.
    if (register_.version() >= version)
        return done(register_.version());
    if (!raft_.isLeader(now))
        return done(Base::fail(Base::ErrorKind::NotLeader));
    const auto index = raft_.propose(now, Wire::encode(StoreConfiguration {version, text}));
    if (!index)
        return done(tl::unexpected(index.error()));
    waiting_.push_back({*index, version, now + SubmissionTimeout, done});
}

bool RegistryCore::isNewest(Base::Instant now) const
{
    return raft_.isLeader(now) && appliedTerm_ == raft_.status(now).term;
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
    answerApplied();
    return changed;
}

// An entry of another leader may stand at the index of a submission. The version held decides: if it is not
// lower, the submission is stored or overtaken, whoever proposed it.
void RegistryCore::answerApplied()
{
    std::vector<Waiting> later;
    for (auto &item : std::exchange(waiting_, {})) {
        if (register_.version() >= item.version)
            item.done(register_.version());
        else if (item.index <= appliedIndex_)
            item.done(Base::fail(Base::ErrorKind::OutcomeUnknown, "another leader's entry took its place"));
        else
            later.push_back(std::move(item));
    }
    waiting_ = std::move(later);
}

void RegistryCore::tick(Base::Instant now)
{
    std::vector<Waiting> later;
    for (auto &item : std::exchange(waiting_, {})) {
        if (now >= item.deadline)
            item.done(Base::fail(Base::ErrorKind::OutcomeUnknown, "no majority confirmed it in time"));
        else
            later.push_back(std::move(item));
    }
    waiting_ = std::move(later);
}

void RegistryCore::abandon()
{
    for (const auto &item : std::exchange(waiting_, {}))
        item.done(Base::fail(Base::ErrorKind::OutcomeUnknown, "this node stops"));
}

} // namespace Registry
