#pragma once

#include "LibBase/Time.h"

#include <cstddef>

namespace Edge {

/// Tells whether a peer that sends or takes a message moves enough bytes. A message may last as long as it
/// likes while each window brings its share, so that a long one on a slow link is not cut off.
/// Load pattern: crowds that send or read a few bytes now and then and hold what has been sent so far.
class TransferProgress
{
public:
    /// Bytes that each window must bring, unless the message ends in it.
    static constexpr std::size_t BytesPerWindow = std::size_t {16} * 1024;

    void begin(Base::Instant now)
    {
        windowStart_ = lastMoved_ = now;
        moved_ = 0;
    }

    void moved(Base::Instant now, std::size_t bytes)
    {
        lastMoved_ = now;
        moved_ += bytes;
    }

    /// Call this several times in a window.
    bool isTooSlow(Base::Instant now, Base::Duration window)
    {
        if (now - windowStart_ <= window)
            return false;
        if (moved_ < BytesPerWindow)
            return true;
        windowStart_ = now;
        moved_ = 0;
        return false;
    }

    Base::Instant lastMoved() const { return lastMoved_; }

private:
    Base::Instant windowStart_;
    Base::Instant lastMoved_;
    std::size_t moved_ = 0; ///< In this window.
};

} // namespace Edge
