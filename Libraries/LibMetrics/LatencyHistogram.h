#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <memory>

namespace Metrics {

/// Distribution of durations on a logarithmic axis from 0.1 ms to 60 s. Thread-safe.
///
/// A quantile is exact to one bin, that is about 7% of its value. Shorter and longer durations count at the
/// ends of the axis.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void record(Base::Duration duration);

    /// Returns the duration that the fraction `q` (0 to 1) of all records does not exceed; zero without
    /// records.
    Base::Duration quantile(double q) const;
    std::uint64_t count() const;
    Base::Duration sum() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace Metrics
