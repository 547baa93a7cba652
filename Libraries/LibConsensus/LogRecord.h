#pragma once

#include "LibBase/Bytes.h"
#include "LibConsensus/LogStore.h"

#include <cstdint>

namespace Consensus {

/// Values are stored in files.
enum class LogRecordKind : std::uint8_t {
    Noop = 0, ///< The first three are the values of Wire::RaftEntryKind.
    Command = 1,
    Membership = 2,
    HardState = 3, ///< Term; the index is the incarnation voted for, the payload its node id.
    Truncation = 4 ///< Entries from the index on are removed.
};

/// One change of the log file.
struct LogRecord
{
    LogRecordKind kind = LogRecordKind::Noop;
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    Base::Bytes payload;

    bool operator==(const LogRecord &) const = default;

    bool isEntry() const { return kind <= LogRecordKind::Membership; }
    /// Requires isEntry().
    Wire::RaftEntry toEntry() const { return {index, term, static_cast<Wire::RaftEntryKind>(kind), payload}; }
    static LogRecord fromEntry(const Wire::RaftEntry &entry)
    {
        return {static_cast<LogRecordKind>(entry.kind), entry.index, entry.term, entry.payload};
    }
    static LogRecord fromHardState(const HardState &state)
    {
        return {LogRecordKind::HardState, state.votedForIncarnation, state.term,
                Base::toBytes(state.votedFor)};
    }
    HardState toHardState() const { return {term, std::string(Base::asText(payload)), index}; }
};

} // namespace Consensus
