#pragma once

#include <atomic>
#include <cstdint>

namespace Metrics {

/// A total that only grows. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }

    /// Takes over a total that is counted elsewhere; a lower value is ignored.
    void raiseTo(std::uint64_t total)
    {
        auto current = value_.load(std::memory_order_relaxed);
        while (current < total && !value_.compare_exchange_weak(current, total, std::memory_order_relaxed)) {
        }
    }

    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_ {0};
};

} // namespace Metrics
