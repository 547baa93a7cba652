#include "LibRegistry/CallerShare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Registry {

namespace {

/// Time that counts for one update; a longer gap is a suspended VM, whose share must not jump afterwards.
constexpr Base::Duration LongestStep = Base::seconds(1);
/// Distance in sixteenths from which the reported share follows the exact one. More than half, so that a
/// share between two sixteenths does not make the report alternate.
constexpr double ReportDistance = 0.75;

double toSeconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double shareOnLine(double busy)
{
    constexpr double Width = CallerShare::HottestFrom - CallerShare::HotFrom;
    const auto heat = std::clamp((busy - CallerShare::HotFrom) / Width, 0.0, 1.0);
    return 1.0 - heat * (1.0 - CallerShare::LowestShare);
}

} // namespace

void CallerShare::update(Base::Instant now, std::optional<double> busy)
{
    const auto previous = std::exchange(updatedAt_, now);
    if (busy) {
        const auto age = toSeconds(std::min(now - figureAt_.value_or(now - LongestStep), FigureTimeout));
        busy_ += (*busy - busy_) * age / (age + toSeconds(SmoothingTime));
        figureAt_ = now;
    } else if (figureAt_ && now - *figureAt_ >= FigureTimeout) {
        busy_ = 0.0;
    }
    if (!previous)
        return;
    const auto elapsed = toSeconds(std::min(now - *previous, LongestStep));
    share_ = std::clamp(share_ + changePerSecond() * elapsed, LowestShare, 1.0);
    report();
}

double CallerShare::changePerSecond() const
{
    const auto excess = share_ - shareOnLine(busy_);
    if (excess > 0.0)
        return -std::min(FallPerSecond, excess / toSeconds(FallTime));
    if (share_ < shareOnLine(busy_ + DeadBand) || busy_ + DeadBand <= HotFrom)
        return RisePerSecond;
    return busy_ < HotFrom ? CreepPerSecond : 0.0;
}

void CallerShare::report()
{
    const auto exact = share_ * Wire::FullCallerShare;
    if (share_ == 1.0)
        reported_ = Wire::FullCallerShare;
    else if (std::abs(exact - reported_) >= ReportDistance)
        reported_ =
            static_cast<std::uint8_t>(std::clamp(std::lround(exact), 1L, long {Wire::FullCallerShare}));
}

std::optional<CallerShare::LargeChange> CallerShare::takeLargeChange()
{
    if (2 * reported_ > lastTaken_ && reported_ < 2 * lastTaken_)
        return std::nullopt;
    return LargeChange {std::exchange(lastTaken_, reported_), reported_};
}

} // namespace Registry
