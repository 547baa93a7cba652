#pragma once

#include "LibWire/Codec.h"

#include <cstdint>
#include <string>

namespace Control {

enum class PromotionState : std::uint8_t {
    Pending, ///< Proposed; entry processes are staging it.
    Waiting, ///< Not proposed because another promotion is pending; no state changed.
    Accepted,
    Conflict, ///< Another change was accepted on the base revision.
    Rejected ///< An entry process rejected the document.
};

} // namespace Control

MSGPACK_ADD_ENUM(Control::PromotionState);

namespace Control {

/// Current state or final result of a promotion.
struct PromotionResult
{
    PromotionState state = PromotionState::Pending;
    std::uint64_t revision = 0; ///< Of this change; of the winner when `state` is Conflict.
    std::string documentHash; ///< As `revision`.
    std::string changeId; ///< As `revision`.
    std::string detail; ///< Reason of a rejection.

    bool operator==(const PromotionResult &) const = default;
    MSGPACK_DEFINE(state, revision, documentHash, changeId, detail)
};

} // namespace Control
