#pragma once

#include "LibControl/ControlContent.h"

#include <cstdint>
#include <variant>

namespace Control {

/// Return value of an applied command.
using ApplyValue =
    std::variant<std::monostate, PromotionResult, Wire::ClaimRequestReply, Wire::RecordOutcomeReply>;

/// The replicated state machine. Deterministic: it reads no clock and no random source, so that equal logs
/// give equal states on all nodes.
class ControlState
{
public:
    /// Results of older changes are evicted; the limit covers more than a day at 3,000 changes a day.
    static constexpr std::size_t MaxChanges = 4096;
    /// Unreferenced documents beyond either limit are removed, oldest first, which bounds the snapshot.
    static constexpr std::size_t MaxDocuments = 64;
    static constexpr std::size_t MaxDocumentBytesTotal = Wire::MaxMessageBytes / 8 * 3;

    /// Applies the command of log entry `index`. A refused command leaves the state unchanged apart from
    /// its index.
    Base::Result<ApplyValue> apply(std::uint64_t index, const Command &command);

    /// Encodes the whole state.
    Base::Bytes snapshot() const { return Wire::encode(content_); }

    /// Replaces the whole state; fails with CorruptData.
    Base::Result<void> restore(Base::ByteView snapshot);

    const ControlContent &content() const { return content_; }

    /// Returns a document's text, or null.
    const std::string *findDocument(const std::string &documentHash) const;

    /// Returns the registered entry process with this identity, or null.
    const Wire::EntryRecord *findEntry(const std::string &entryId, std::uint64_t incarnation) const;

    /// Builds the directory that entry processes receive.
    Wire::Directory directory() const;

private:
    Base::Result<ApplyValue> applyCommand(const StoreDocument &command);
    Base::Result<ApplyValue> applyCommand(const ProposePromotion &command);
    Base::Result<ApplyValue> applyCommand(const AcceptPromotion &command);
    Base::Result<ApplyValue> applyCommand(const AbortPromotion &command);
    Base::Result<ApplyValue> applyCommand(const RegisterEntry &command);
    Base::Result<ApplyValue> applyCommand(const RemoveEntry &command);
    Base::Result<ApplyValue> applyCommand(const AssignShares &command);
    Base::Result<ApplyValue> applyCommand(const RequestReleases &command);
    Base::Result<ApplyValue> applyCommand(const ReleaseShares &command);
    Base::Result<ApplyValue> applyCommand(const ClaimRequest &command);
    Base::Result<ApplyValue> applyCommand(const RecordOutcome &command);

    PromotionResult startPromotion(const ProposePromotion &command);
    void finishPromotion(PromotionResult result);
    void storeChange(const ProposePromotion &command, const PromotionResult &result);
    void evictOldChanges();
    void evictOldDocuments();
    bool isReferenced(const std::string &documentHash) const;
    void markDirectoryChanged() { content_.directoryVersion = content_.appliedIndex; }

    ControlContent content_;
};

} // namespace Control
