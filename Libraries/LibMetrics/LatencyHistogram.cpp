#include "LibMetrics/LatencyHistogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <mutex>

namespace Metrics {

namespace {

/// The axis in milliseconds. 200 bins over 5.8 decades make each bin 6.9% wide.
constexpr unsigned BinCount = 200;
constexpr double LowestMilliseconds = 0.1;
constexpr double HighestMilliseconds = 60000.0;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Histogram =
    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

Base::Duration fromMilliseconds(double milliseconds)
{
    return Base::Duration(static_cast<std::int64_t>(milliseconds * 1000.0));
}

} // namespace

class LatencyHistogram::Implementation
{
public:
    /// Fraction of the way through the bins at which the rank lies, within its bin as well.
    double milliseconds(double rank) const
    {
        double before = 0.0;
        for (int bin = -1; bin <= static_cast<int>(BinCount); ++bin) {
            const auto inBin = static_cast<double>(histogram.at(bin));
            if (inBin > 0.0 && before + inBin >= rank)
                return interpolate(bin, (rank - before) / inBin);
            before += inBin;
        }
        return HighestMilliseconds;
    }

    mutable std::mutex mutex;
    Histogram histogram {std::make_tuple(Axis(BinCount, LowestMilliseconds, HighestMilliseconds)),
                         boost::histogram::dense_storage<std::uint64_t>()};
    std::uint64_t count = 0;
    Base::Duration sum {};

private:
    double interpolate(int bin, double fraction) const
    {
        if (bin < 0)
            return LowestMilliseconds;
        if (bin >= static_cast<int>(BinCount))
            return HighestMilliseconds;
        return histogram.axis().value(bin + fraction);
    }
};

LatencyHistogram::LatencyHistogram()
    : implementation_(std::make_unique<Implementation>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Base::Duration duration)
{
    const std::lock_guard lock(implementation_->mutex);
    implementation_->histogram(Base::toMilliseconds(duration));
    implementation_->sum += duration;
    ++implementation_->count;
}

Base::Duration LatencyHistogram::quantile(double q) const
{
    const std::lock_guard lock(implementation_->mutex);
    if (implementation_->count == 0)
        return {};
    const auto rank = std::clamp(q, 0.0, 1.0) * static_cast<double>(implementation_->count);
    return fromMilliseconds(implementation_->milliseconds(rank));
}

std::uint64_t LatencyHistogram::count() const
{
    const std::lock_guard lock(implementation_->mutex);
    return implementation_->count;
}

Base::Duration LatencyHistogram::sum() const
{
    const std::lock_guard lock(implementation_->mutex);
    return implementation_->sum;
}

} // namespace Metrics
