#pragma once

#include <atomic>

namespace Metrics {

/// A value that goes up and down. Thread-safe.
class Gauge
{
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_ {0.0};
};

} // namespace Metrics
