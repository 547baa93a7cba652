#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Forward {

/// Finds out how many concurrent attempts of this gateway a server takes well, from its latency against its
/// own best. Starts without a limit. Load pattern: a server slows down long before its slots are full, so
/// that further attempts delay those that it runs.
///
/// Additive increase and multiplicative decrease over windows of replies. A window counts by its median, and
/// two slow ones in a row lower the limit: a pause of up to 250 ms ends in a single window. Gateways that
/// share a server see the same latency and lower their limits alike.
class ConcurrencyLimit
{
public:
    /// Takes a reply's latency relative to the usual of its route, with `inFlight` attempts at the server
    /// including this one. `ceiling` is the limit by slots and connections.
    void record(Base::Instant now, double relativeLatency, std::uint32_t inFlight, std::uint32_t ceiling);

    /// The limit; `ceiling` until the server has been found to take less.
    std::uint32_t limit(std::uint32_t ceiling) const
    {
        return limit_ == 0 || limit_ > ceiling ? ceiling : limit_;
    }

    /// Latency with little work, relative to the usual of the routes; 0 while unknown.
    double best() const { return best_; }

private:
    /// Replies in a window; the median of fewer is too uncertain.
    static constexpr std::size_t WindowReplies = 20;

    void closeWindow(std::uint32_t ceiling);

    std::array<float, WindowReplies> replies_ {}; ///< The latest of the window.
    std::size_t count_ = 0; ///< Replies of the window, which may exceed its size.
    std::uint32_t mostInFlight_ = 0;
    Base::Instant openedAt_;
    std::uint32_t limit_ = 0; ///< 0: none.
    std::uint32_t slowWindows_ = 0; ///< In a row.
    double best_ = 0.0;
};

} // namespace Forward
