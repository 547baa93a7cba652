#pragma once

#include "LibConsensus/LogContents.h"
#include "LibConsensus/LogStore.h"

namespace Consensus {

/// Base of log stores that serve all reads from memory. Subclasses decide how changes are persisted.
class CachedLogStore : public LogStore
{
public:
    std::uint64_t incarnation() const final { return incarnation_; }
    HardState hardState() const final { return contents_.hardState(); }
    std::optional<Wire::RaftSnapshot> snapshot() const final { return contents_.snapshot(); }
    std::uint64_t firstIndex() const final { return contents_.firstIndex(); }
    std::uint64_t lastIndex() const final { return contents_.lastIndex(); }
    std::optional<std::uint64_t> termAt(std::uint64_t index) const final { return contents_.termAt(index); }
    std::vector<Wire::RaftEntry> entries(std::uint64_t from, std::uint64_t to,
                                         std::size_t maxBytes) const final
    {
        return contents_.entries(from, to, maxBytes);
    }

protected:
    explicit CachedLogStore(std::uint64_t incarnation = 0)
        : incarnation_(incarnation)
    {
    }

    std::uint64_t incarnation_; ///< 0 until it is known.
    LogContents contents_;
};

} // namespace Consensus
