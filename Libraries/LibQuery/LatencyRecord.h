#pragma once

#include "LibBase/Time.h"

#include <memory>
#include <optional>

namespace Query {

/// Distribution of the recent sub-request latencies of one index. Older samples lose weight as new ones are
/// added.
class LatencyRecord
{
public:
    LatencyRecord();
    ~LatencyRecord();
    LatencyRecord(LatencyRecord &&) noexcept;
    LatencyRecord &operator=(LatencyRecord &&) noexcept;

    void add(Base::Duration latency);
    /// Returns the quantile, or nothing while there are too few samples. The result is at most 3% too high.
    std::optional<Base::Duration> quantile(double fraction) const;

private:
    struct Samples;
    std::unique_ptr<Samples> samples_;
};

} // namespace Query
