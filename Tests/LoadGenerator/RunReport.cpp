#include "LoadGenerator/RunReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace Load {

namespace {

constexpr std::size_t MostFaultsShown = 20;
constexpr std::size_t MostIncidentsShown = 100;

} // namespace

void RunReport::add(const CallResult &result)
{
    const std::lock_guard lock(mutex_);
    ++counts_[static_cast<std::size_t>(result.outcome)];
    retried_ += result.attempts > 1 ? 1 : 0;
    if (!result.reason.empty() && result.outcome != CallOutcome::Wrong)
        ++reasons_[result.reason];
    if (result.outcome == CallOutcome::Wrong && faults_.size() < MostFaultsShown)
        faults_.push_back(result.requestId + ": " + result.reason);
    if (result.outcome != CallOutcome::Whole && incidents_.size() < MostIncidentsShown)
        incidents_.push_back({{"request_id", result.requestId},
                              {"reason", result.reason},
                              {"sent_at_ms", Base::toMilliseconds(result.offset)},
                              {"latency_ms", Base::toMilliseconds(result.latency)}});
    if (result.outcome == CallOutcome::Whole || result.outcome == CallOutcome::Partial) {
        const double latency = Base::toMilliseconds(result.latency);
        answerLatencies_(std::clamp(latency, LowestMs, HighestMs));
        highestMs_ = std::max(highestMs_, latency);
    }
}

std::uint64_t RunReport::total() const
{
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t {0});
}

double RunReport::quantile(double fraction) const
{
    const double all = boost::histogram::algorithm::sum(answerLatencies_);
    double below = 0;
    for (const auto &bin : boost::histogram::indexed(answerLatencies_)) {
        below += static_cast<double>(*bin);
        if (all > 0 && below >= fraction * all)
            return std::min(bin.bin().upper(), highestMs_);
    }
    return 0;
}

bool RunReport::hasWrongAnswers() const
{
    const std::lock_guard lock(mutex_);
    return count(CallOutcome::Wrong) > 0;
}

nlohmann::json RunReport::toJson() const
{
    const std::lock_guard lock(mutex_);
    return {{"queries", total()},
            {"whole", count(CallOutcome::Whole)},
            {"partial", count(CallOutcome::Partial)},
            {"refused", count(CallOutcome::Refused)},
            {"failed", count(CallOutcome::Failed)},
            {"wrong", count(CallOutcome::Wrong)},
            {"retried", retried_},
            {"reasons", reasons_},
            {"faults", faults_},
            {"incidents", incidents_},
            {"latency_ms",
             {{"p50", quantile(0.5)},
              {"p90", quantile(0.9)},
              {"p99", quantile(0.99)},
              {"p999", quantile(0.999)},
              {"max", highestMs_}}}};
}

std::string RunReport::toLine() const
{
    const auto json = toJson();
    return fmt::format(
        "load: {} queries={} whole={} partial={} refused={} failed={} wrong={} p50_ms={:.1f} p99_ms={:.1f}",
        json["wrong"] == 0 ? "ok" : "wrong", json["queries"].get<std::uint64_t>(),
        json["whole"].get<std::uint64_t>(), json["partial"].get<std::uint64_t>(),
        json["refused"].get<std::uint64_t>(), json["failed"].get<std::uint64_t>(),
        json["wrong"].get<std::uint64_t>(), json["latency_ms"]["p50"].get<double>(),
        json["latency_ms"]["p99"].get<double>());
}

} // namespace Load
