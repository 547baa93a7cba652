#pragma once

#include "LoadGenerator/CallResult.h"

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Load {

/// Counts and latencies of a run. Thread-safe.
class RunReport
{
public:
    void add(const CallResult &result);

    nlohmann::json toJson() const;

    /// "load: ok queries=… whole=… partial=… refused=… failed=… wrong=… p50_ms=… p99_ms=…"
    std::string toLine() const;

    bool hasWrongAnswers() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    static constexpr std::size_t OutcomeCount = 5;
    static constexpr double LowestMs = 0.05;
    static constexpr double HighestMs = 120'000;
    static constexpr unsigned Bins = 3000; ///< 0.5% per bin.

    std::uint64_t count(CallOutcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }
    std::uint64_t total() const;

    /// Latency in milliseconds below which this fraction of the answers lies.
    double quantile(double fraction) const;

    mutable std::mutex mutex_;
    std::array<std::uint64_t, OutcomeCount> counts_ {};
    Histogram answerLatencies_ = boost::histogram::make_histogram(Axis(Bins, LowestMs, HighestMs));
    double highestMs_ = 0;
    std::uint64_t retried_ = 0;
    std::map<std::string, std::uint64_t> reasons_;
    std::vector<std::string> faults_;
    nlohmann::json incidents_ = nlohmann::json::array(); ///< The first queries not answered whole.
};

} // namespace Load
