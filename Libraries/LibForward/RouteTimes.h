#pragma once

#include "LibBase/Time.h"
#include "LibQuery/LatencyRecord.h"

#include <algorithm>
#include <optional>

namespace Forward {

/// Latency statistics of the attempts of one route.
class RouteTimes
{
public:
    explicit RouteTimes(Base::Duration latencyTarget)
        : mean_(std::max<Base::Duration>(latencyTarget / AssumedMeanDivisor, Base::milliseconds(1)))
        , latencyTarget_(latencyTarget)
    {
    }

    void add(Base::Duration latency)
    {
        record_.add(latency);
        // A cumulative mean at first, so that it converges quickly from the assumed value.
        samples_ = std::min(samples_ + 1, MaxMeanSamples);
        mean_ += (latency - mean_) / samples_;
        const bool settled = samples_ >= MinReferenceSamples && mean_ > reference();
        const auto difference = static_cast<double>((mean_ - reference()).count());
        referenceUs_ += settled ? difference / ReferenceRiseDivisor : difference;
    }

    Base::Duration mean() const { return mean_; }

    /// Mean while the servers have little to do: follows the mean down at once and up over many attempts, so
    /// that an overload of all servers does not count as usual.
    Base::Duration reference() const
    {
        return Base::Duration(static_cast<Base::Duration::rep>(referenceUs_));
    }

    /// What one attempt in a hundred takes or exceeds; empty while there are too few samples.
    std::optional<Base::Duration> tail() const { return record_.quantile(0.99); }

    /// Time after which an attempt without a reply is probably slower than a second one would be. Based on
    /// the median, because the slow attempts of a fault that hits up to half of the servers do not move it.
    Base::Duration hedgeDelay() const
    {
        const auto median = record_.quantile(0.5);
        return median ? *median * HedgeMedianPercent / 100 : latencyTarget_ / AssumedHedgeDivisor;
    }

private:
    /// Used until there are samples: targets are set to several times the usual latency.
    static constexpr int AssumedMeanDivisor = 6;
    static constexpr int AssumedHedgeDivisor = 4;
    /// Service times deviate by about a third of their mean; well beyond the median are only stalls and the
    /// tail.
    static constexpr int HedgeMedianPercent = 150;
    /// Limit of the sample count in the mean: once reached, older samples decay exponentially and about the
    /// last 300 attempts count. The replies of one gather arrive in the order of their latency, so with a
    /// lower limit the mean would follow the slowest replies of the last gather.
    static constexpr int MaxMeanSamples = 300;
    /// The mean of fewer is not yet that of the route.
    static constexpr int MinReferenceSamples = 50;
    static constexpr double ReferenceRiseDivisor = 20'000.0;

    Query::LatencyRecord record_;
    Base::Duration mean_;
    double referenceUs_ = static_cast<double>(mean_.count());
    int samples_ = 1;
    Base::Duration latencyTarget_;
};

} // namespace Forward
