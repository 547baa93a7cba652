#include "LibQuery/Hedging/Simulation.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

namespace {

constexpr const char *Usage = R"(Measures the hedging policy of QueryCore on logical time.

Usage: MeasureHedging [options]

Options:
  --seed=N           Seed of arrivals and service times [default: 1].
  --queries=N        Queries per run [default: 20000].
  --shards=N         Shards of the index [default: 50].
  --replicas=N       Replicas per shard [default: 2].
  --slots=N          Requests that one server runs at once [default: 2].
  --utilisation=X    Fraction of slots busy with first attempts [default: 0.4].
  --sigma=X          Spread of the logarithm of the service time [default: 0.3].
  --stragglers=X     Fraction of sub-requests that are stragglers [default: 0.01].
  --factor=X         Service time multiple of a straggler [default: 20].
  --budget=X         Extra-load budget of the class, as a fraction [default: 0.02].
)";

void print(const char *name, const SimulationResult &result)
{
    fmt::print("{:<16}{:>9.1f}{:>9.1f}{:>9.1f}{:>11.4f}{:>13.2f}%{:>9.2f}%{:>9}\n", name,
               result.quantile(0.5), result.quantile(0.99), result.quantile(0.999), result.completeFraction,
               result.extraAttempts * 100.0, result.extraWork * 100.0, result.statistics.hedgesWon);
}

} // namespace

int main(int argc, const char **argv)
{
    auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    const auto real = [&](const char *name) { return std::stod(arguments[name].asString()); };
    SimulationOptions options;
    options.seed = std::stoull(arguments["--seed"].asString());
    options.queries = static_cast<std::uint32_t>(real("--queries"));
    options.shards = static_cast<std::uint32_t>(real("--shards"));
    options.replicas = static_cast<std::uint32_t>(real("--replicas"));
    options.slots = static_cast<std::uint32_t>(real("--slots"));
    options.utilisation = real("--utilisation");
    options.sigma = real("--sigma");
    options.stragglerFraction = real("--stragglers");
    options.stragglerFactor = real("--factor");
    options.budget = real("--budget");

    auto withoutHedging = options;
    withoutHedging.budget = 0.0;
    // An oracle sends every sub-request to a replica that will not be slow.
    auto oracle = withoutHedging;
    oracle.stragglerFraction = 0.0;

    fmt::print("{:<16}{:>9}{:>9}{:>9}{:>11}{:>14}{:>10}{:>9}\n", "milliseconds", "p50", "p99", "p99.9",
               "complete", "attempts", "work", "won");
    const auto bound = Simulation(oracle).run();
    print("oracle", bound);
    const auto plain = Simulation(withoutHedging).run();
    print("without hedging", plain);
    const auto hedged = Simulation(options).run();
    print("with hedging", hedged);
    fmt::print("p99 with hedging: {:.2f} times the oracle's, {:.2f} of that without hedging\n",
               hedged.quantile(0.99) / bound.quantile(0.99), hedged.quantile(0.99) / plain.quantile(0.99));
    return 0;
}
