#include "LibQuery/LatencyRecord.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace Query {

namespace {

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Histogram = boost::histogram::histogram<std::tuple<LogAxis>, boost::histogram::dense_storage<double>>;

constexpr double LowestMicroseconds = 20.0;
constexpr double HighestMicroseconds = 100e6;
/// Gives bins that are 3% wide.
constexpr unsigned BinCount = 520;

constexpr double MinSamples = 100.0;
/// Total weight at which all bins are halved, so that about the last 20,000 samples dominate.
constexpr double HalvingWeight = 20000.0;

} // namespace

struct LatencyRecord::Samples
{
    Histogram histogram {std::tuple {LogAxis(BinCount, LowestMicroseconds, HighestMicroseconds)}};
    double weight = 0.0;
};

LatencyRecord::LatencyRecord()
    : samples_(std::make_unique<Samples>())
{
}

LatencyRecord::~LatencyRecord() = default;
LatencyRecord::LatencyRecord(LatencyRecord &&) noexcept = default;
LatencyRecord &LatencyRecord::operator=(LatencyRecord &&) noexcept = default;

void LatencyRecord::add(Base::Duration latency)
{
    const auto value = static_cast<double>(latency.count());
    samples_->histogram(std::clamp(value, LowestMicroseconds, HighestMicroseconds * 0.999));
    samples_->weight += 1.0;
    if (samples_->weight < HalvingWeight)
        return;
    samples_->histogram *= 0.5;
    samples_->weight *= 0.5;
}

std::optional<Base::Duration> LatencyRecord::quantile(double fraction) const
{
    if (samples_->weight < MinSamples)
        return std::nullopt;
    double below = 0.0;
    for (const auto &bin : boost::histogram::indexed(samples_->histogram)) {
        below += *bin;
        if (below >= fraction * samples_->weight)
            return Base::Duration(static_cast<Base::Duration::rep>(bin.bin().upper()));
    }
    return Base::Duration(static_cast<Base::Duration::rep>(HighestMicroseconds));
}

} // namespace Query
