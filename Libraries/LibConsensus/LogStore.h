#pragma once

#include "LibBase/Error.h"
#include "LibWire/RaftMessages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Consensus {

/// Term and vote, which must be durable before a vote is answered.
struct HardState
{
    std::uint64_t term = 0;
    std::string votedFor; ///< Node id; empty means no vote in `term`.
    std::uint64_t votedForIncarnation = 0;

    bool operator==(const HardState &) const = default;
};

/// Durable state of one node. Changes are durable only after sync(); RaftNode syncs before it acknowledges.
class LogStore
{
public:
    virtual ~LogStore() = default;

    /// Random number made with the data directory; part of the node's identity.
    virtual std::uint64_t incarnation() const = 0;
    virtual HardState hardState() const = 0;
    virtual Base::Result<void> setHardState(const HardState &state) = 0;

    virtual std::optional<Wire::RaftSnapshot> snapshot() const = 0;
    /// Stores a snapshot and drops the log up to its last index. Later entries are kept only if the log holds
    /// the snapshot's last entry with the same term; otherwise they conflict with it.
    virtual Base::Result<void> saveSnapshot(const Wire::RaftSnapshot &snapshot) = 0;

    /// Index of the first entry held; one past the snapshot when the log is empty.
    virtual std::uint64_t firstIndex() const = 0;
    virtual std::uint64_t lastIndex() const = 0;
    /// Term of the entry at `index` (or of the snapshot's last entry); nothing when it is not held.
    virtual std::optional<std::uint64_t> termAt(std::uint64_t index) const = 0;
    /// Copies entries [from, to], at most `maxBytes` of payload but at least one entry.
    virtual std::vector<Wire::RaftEntry> entries(std::uint64_t from, std::uint64_t to,
                                                 std::size_t maxBytes) const = 0;
    virtual Base::Result<void> append(std::span<const Wire::RaftEntry> entries) = 0;
    /// Removes all entries from `index` on.
    virtual Base::Result<void> truncateFrom(std::uint64_t index) = 0;

    /// Makes all earlier changes durable.
    virtual Base::Result<void> sync() = 0;
};

} // namespace Consensus
