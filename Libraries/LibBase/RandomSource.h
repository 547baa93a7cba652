#pragma once

#include <cstdint>
#include <random>

namespace Base {

/// Seeded generator passed to decision logic, so that a seed reproduces a run.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// Returns a value in [0, bound); `bound` must be positive.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }

    /// Returns a value in [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

    std::uint64_t next() { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace Base
