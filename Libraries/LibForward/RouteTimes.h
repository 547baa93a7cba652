#pragma once

#include "LibBase/Time.h"
#include "LibQuery/LatencyRecord.h"

#include <algorithm>

namespace Forward {

/// Observed latency of the attempts of one route.
class RouteTimes
{
public:
    explicit RouteTimes(Base::Duration latencyTarget)
        : mean_(std::max<Base::Duration>(latencyTarget / AssumedTargetMultiple, Base::milliseconds(1)))
        , latencyTarget_(latencyTarget)
    {
    }

    void add(Base::Duration latency)
    {
        record_.add(latency);
        // Converges quickly from the assumed value.
        samples_ = std::min(samples_ + 1, MeanWeight);
        mean_ += (latency - mean_) / samples_;
    }

    Base::Duration mean() const { return mean_; }

    /// Time after which an attempt without a reply is probably slower than a second one would be. It follows
    /// the median, because the slow attempts of a fault that hits up to half of the servers do not move it.
    Base::Duration hedgeDelay() const
    {
        const auto median = record_.quantile(0.5);
        return median ? *median * HedgeMedianPercent / 100 : latencyTarget_ / AssumedHedgeMultiple;
    }

private:
    /// Before anything was measured: targets are set to several times the usual latency.
    static constexpr int AssumedTargetMultiple = 6;
    static constexpr int AssumedHedgeMultiple = 4;
    /// Service times spread by about a third of their mean; well beyond the median come stalls and tails.
    static constexpr int HedgeMedianPercent = 150;
    /// About the last three hundred attempts decide: the replies of one gather come in the order of their
    /// latency, so fewer would follow the slow end of the last gather.
    static constexpr int MeanWeight = 300;

    Query::LatencyRecord record_;
    Base::Duration mean_;
    int samples_ = 1;
    Base::Duration latencyTarget_;
};

} // namespace Forward
