#include "LibForward/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace Forward {

namespace {

/// Longer than a pause that is not overload.
constexpr Base::Duration MinWindow = Base::milliseconds(300);
/// A window that has not filled by then says nothing of the present: it is dropped, and the limit rises, as
/// so few attempts hardly load the server.
constexpr Base::Duration MaxWindow = Base::seconds(5);
/// Medians above this multiple of the best mean that the server has more than it takes well.
constexpr double SlowFactor = 1.5;
/// Medians up to this multiple mean that it may take more.
constexpr double CalmFactor = 1.25;
constexpr std::uint32_t SlowWindowsBeforeDecrease = 2;
constexpr double DecreaseFactor = 0.75;
/// A server whose first window is slower than this has too much already, or is found to be slow by itself
/// once it gets one attempt at a time. Servers of one service differ by about a third.
constexpr double MaxFirstBest = 1.3;
/// Weight of a window that is below the best, or above it with one attempt at a time, when the server is slow
/// by itself.
constexpr double BestFallWeight = 0.2;
constexpr double BestRiseWeightAlone = 0.05;
/// Otherwise the best rises by at most this fraction, so that a lasting overload does not become the usual.
constexpr double MaxBestRise = 0.002;

} // namespace

void ConcurrencyLimit::record(Base::Instant now, double relativeLatency, std::uint32_t inFlight,
                              std::uint32_t ceiling)
{
    if (count_ > 0 && now - openedAt_ > MaxWindow) {
        count_ = 0;
        slowWindows_ = 0;
        limit_ = limit_ == 0 || limit_ + 1 >= ceiling ? 0 : limit_ + 1;
    }
    if (count_ == 0) {
        openedAt_ = now;
        mostInFlight_ = 0;
    }
    replies_[count_++ % WindowReplies] = static_cast<float>(relativeLatency);
    mostInFlight_ = std::max(mostInFlight_, inFlight);
    if (count_ >= WindowReplies && now - openedAt_ >= MinWindow)
        closeWindow(ceiling);
}

void ConcurrencyLimit::closeWindow(std::uint32_t ceiling)
{
    const auto middle = replies_.begin() + WindowReplies / 2;
    std::nth_element(replies_.begin(), middle, replies_.end());
    const double median = *middle;
    count_ = 0;
    if (best_ == 0.0)
        best_ = std::min(median, MaxFirstBest);
    const bool slow = median > SlowFactor * best_;
    slowWindows_ = slow ? slowWindows_ + 1 : 0;
    const auto inUse = std::min(mostInFlight_, limit(ceiling));
    if (slowWindows_ >= SlowWindowsBeforeDecrease) {
        slowWindows_ = 0;
        limit_ = std::max(1U, static_cast<std::uint32_t>(DecreaseFactor * inUse));
    } else if (limit_ != 0 && median <= CalmFactor * best_ && inUse >= limit_) {
        limit_ = limit_ + 1 >= ceiling ? 0 : limit_ + 1;
    }
    if (median < best_)
        best_ += BestFallWeight * (median - best_);
    else if (inUse <= 1)
        best_ += BestRiseWeightAlone * (median - best_);
    else
        best_ += std::min(median - best_, MaxBestRise * best_);
}

} // namespace Forward
