#include "LibControl/ControlState.h"

#include <algorithm>
#include <utility>

namespace Control {

Base::Result<ApplyValue> ControlState::apply(std::uint64_t index, const Command &command)
{
    content_.appliedIndex = index;
    return std::visit([this](const auto &value) { return applyCommand(value); }, command);
}

Base::Result<void> ControlState::restore(Base::ByteView snapshot)
{
    auto content = Wire::decode<ControlContent>(snapshot);
    if (!content)
        return Base::fail(Base::ErrorKind::CorruptData,
                          "malformed control state snapshot: " + content.error().detail);
    content_ = std::move(*content);
    return {};
}

const std::string *ControlState::findDocument(const std::string &documentHash) const
{
    const auto found = content_.documents.find(documentHash);
    return found == content_.documents.end() ? nullptr : &found->second.text;
}

const Wire::EntryRecord *ControlState::findEntry(const std::string &entryId, std::uint64_t incarnation) const
{
    const auto found = content_.entries.find(entryId);
    const bool matches = found != content_.entries.end() && found->second.incarnation == incarnation;
    return matches ? &found->second : nullptr;
}

Wire::Directory ControlState::directory() const
{
    Wire::Directory directory;
    directory.version = content_.directoryVersion;
    directory.accepted = content_.accepted;
    directory.proposed = content_.proposed;
    for (const auto &[entryId, entry] : content_.entries)
        directory.entries.push_back(entry);
    for (const auto &[serverId, share] : content_.shares)
        directory.shares.push_back(share);
    return directory;
}

Base::Result<ApplyValue> ControlState::applyCommand(const StoreDocument &command)
{
    content_.documents[command.documentHash] = {command.text, content_.appliedIndex};
    content_.trial = {content_.trial.revision + 1, command.documentHash};
    evictOldDocuments();
    return ApplyValue {};
}

Base::Result<ApplyValue> ControlState::applyCommand(const ProposePromotion &command)
{
    const auto existing = content_.changes.find(command.changeId);
    if (existing != content_.changes.end()) {
        const auto &first = existing->second.request;
        if (first.documentHash != command.documentHash || first.baseRevision != command.baseRevision)
            return Base::fail(Base::ErrorKind::InvalidRequest,
                              "the change id was already used for another change");
        return ApplyValue {existing->second.result};
    }
    if (findDocument(command.documentHash) == nullptr)
        return Base::fail(Base::ErrorKind::NotFound, "no document has this hash");
    const auto result = startPromotion(command);
    if (result.state != PromotionState::Waiting)
        storeChange(command, result);
    return ApplyValue {result};
}

PromotionResult ControlState::startPromotion(const ProposePromotion &command)
{
    if (command.baseRevision != content_.accepted.revision)
        return {PromotionState::Conflict,
                content_.accepted.revision,
                content_.accepted.documentHash,
                content_.acceptedChangeId,
                {}};
    if (content_.proposed.revision != 0)
        return {PromotionState::Waiting,
                content_.proposed.revision,
                content_.proposed.documentHash,
                content_.proposedChangeId,
                {}};
    content_.proposed = {++content_.lastRevision, command.documentHash};
    content_.proposedChangeId = command.changeId;
    markDirectoryChanged();
    return {PromotionState::Pending, content_.proposed.revision, command.documentHash, command.changeId, {}};
}

Base::Result<ApplyValue> ControlState::applyCommand(const AcceptPromotion &command)
{
    if (command.revision == 0 || command.revision != content_.proposed.revision)
        return Base::fail(Base::ErrorKind::NotFound, "this promotion is not pending");
    const PromotionResult result {PromotionState::Accepted,
                                  content_.proposed.revision,
                                  content_.proposed.documentHash,
                                  content_.proposedChangeId,
                                  {}};
    content_.accepted = content_.proposed;
    content_.acceptedChangeId = content_.proposedChangeId;
    finishPromotion(result);
    return ApplyValue {result};
}

Base::Result<ApplyValue> ControlState::applyCommand(const AbortPromotion &command)
{
    if (command.revision == 0 || command.revision != content_.proposed.revision)
        return Base::fail(Base::ErrorKind::NotFound, "this promotion is not pending");
    const PromotionResult result {PromotionState::Rejected, content_.proposed.revision,
                                  content_.proposed.documentHash, content_.proposedChangeId, command.detail};
    finishPromotion(result);
    return ApplyValue {result};
}

void ControlState::finishPromotion(PromotionResult result)
{
    content_.proposed = {};
    content_.proposedChangeId.clear();
    const auto change = content_.changes.find(result.changeId);
    if (change != content_.changes.end())
        change->second.result = std::move(result);
    markDirectoryChanged();
}

void ControlState::storeChange(const ProposePromotion &command, const PromotionResult &result)
{
    content_.changes[command.changeId] = {command, result};
    content_.changeOrder.push_back(command.changeId);
    evictOldChanges();
}

void ControlState::evictOldChanges()
{
    while (content_.changeOrder.size() > MaxChanges) {
        const auto oldest = content_.changeOrder.front();
        content_.changeOrder.pop_front();
        // The pending change stays, because its result is still to be stored.
        if (oldest == content_.proposedChangeId)
            content_.changeOrder.push_back(oldest);
        else
            content_.changes.erase(oldest);
    }
}

bool ControlState::isReferenced(const std::string &documentHash) const
{
    return documentHash == content_.trial.documentHash || documentHash == content_.accepted.documentHash
           || documentHash == content_.proposed.documentHash;
}

void ControlState::evictOldDocuments()
{
    std::size_t total = 0;
    for (const auto &[hash, document] : content_.documents)
        total += document.text.size();
    while (content_.documents.size() > MaxDocuments || total > MaxDocumentBytesTotal) {
        auto oldest = content_.documents.end();
        for (auto item = content_.documents.begin(); item != content_.documents.end(); ++item) {
            const bool isOlder =
                oldest == content_.documents.end() || item->second.storedAt < oldest->second.storedAt;
            if (!isReferenced(item->first) && isOlder)
                oldest = item;
        }
        if (oldest == content_.documents.end())
            return;
        total -= oldest->second.text.size();
        content_.documents.erase(oldest);
    }
}

Base::Result<ApplyValue> ControlState::applyCommand(const RegisterEntry &command)
{
    const auto found = content_.entries.find(command.entry.entryId);
    if (found != content_.entries.end() && found->second.incarnation != command.entry.incarnation)
        return Base::fail(Base::ErrorKind::LeaseExpired, "another process holds the lease of this entry id");
    if (found != content_.entries.end() && found->second == command.entry)
        return ApplyValue {};
    content_.entries[command.entry.entryId] = command.entry;
    markDirectoryChanged();
    return ApplyValue {};
}

Base::Result<ApplyValue> ControlState::applyCommand(const RemoveEntry &command)
{
    if (findEntry(command.entryId, command.incarnation) == nullptr)
        return ApplyValue {};
    content_.entries.erase(command.entryId);
    content_.claims.orphan(command.entryId, command.incarnation);
    std::erase_if(content_.shares,
                  [&command](const auto &item) { return item.second.entryId == command.entryId; });
    markDirectoryChanged();
    return ApplyValue {};
}

Base::Result<ApplyValue> ControlState::applyCommand(const AssignShares &command)
{
    for (const auto &assignment : command.assignments) {
        if (!content_.entries.contains(assignment.entryId) || content_.shares.contains(assignment.serverId))
            continue;
        // The log index is unique over all assignments, so a server never gets the same epoch twice.
        content_.shares[assignment.serverId] = {assignment.serverId, assignment.entryId,
                                                content_.appliedIndex, false};
        markDirectoryChanged();
    }
    return ApplyValue {};
}

Base::Result<ApplyValue> ControlState::applyCommand(const RequestReleases &command)
{
    for (const auto &requested : command.shares) {
        const auto found = content_.shares.find(requested.serverId);
        if (found == content_.shares.end() || found->second.epoch != requested.epoch
            || found->second.releaseRequested)
            continue;
        found->second.releaseRequested = true;
        markDirectoryChanged();
    }
    return ApplyValue {};
}

Base::Result<ApplyValue> ControlState::applyCommand(const ReleaseShares &command)
{
    if (findEntry(command.entryId, command.incarnation) == nullptr)
        return ApplyValue {};
    for (const auto &released : command.shares) {
        const auto found = content_.shares.find(released.serverId);
        if (found == content_.shares.end() || found->second.epoch != released.epoch
            || found->second.entryId != command.entryId)
            continue;
        content_.shares.erase(found);
        markDirectoryChanged();
    }
    return ApplyValue {};
}

Base::Result<ApplyValue> ControlState::applyCommand(const ClaimRequest &command)
{
    // A removed claimant has no lease whose expiry would orphan the claim, so the claim would stay open.
    if (findEntry(command.request.entryId, command.request.incarnation) == nullptr)
        return Base::fail(Base::ErrorKind::LeaseExpired, "the claimant is not registered");
    return content_.claims.claim(command, content_.appliedIndex).map([](Wire::ClaimRequestReply &&reply) {
        return ApplyValue(std::move(reply));
    });
}

Base::Result<ApplyValue> ControlState::applyCommand(const RecordOutcome &command)
{
    return ApplyValue {content_.claims.record(command.request)};
}

} // namespace Control
