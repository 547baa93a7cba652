#pragma once

#include "LibConsensus/LogImage.h"
#include "LibConsensus/LogStore.h"

namespace Consensus {

/// Reading side of a log store that keeps its content in memory, whatever becomes of changes.
class ImageLogStore : public LogStore
{
public:
    std::uint64_t incarnation() const final { return incarnation_; }
    HardState hardState() const final { return image_.hardState(); }
    std::optional<Wire::RaftSnapshot> snapshot() const final { return image_.snapshot(); }
    std::uint64_t firstIndex() const final { return image_.firstIndex(); }
    std::uint64_t lastIndex() const final { return image_.lastIndex(); }
    std::optional<std::uint64_t> termAt(std::uint64_t index) const final { return image_.termAt(index); }
    std::vector<Wire::RaftEntry> entries(std::uint64_t from, std::uint64_t to,
                                         std::size_t maxBytes) const final
    {
        return image_.entries(from, to, maxBytes);
    }

protected:
    explicit ImageLogStore(std::uint64_t incarnation = 0)
        : incarnation_(incarnation)
    {
    }

    std::uint64_t incarnation_; ///< 0 until it is known.
    LogImage image_;
};

} // namespace Consensus
