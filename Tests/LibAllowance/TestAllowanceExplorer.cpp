#include "AllowanceSimulation.h"

#include "LibAllowance/AllowanceKey.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Allowance::RateLimit;
using Allowance::Tolerance;

/// Longest validity of a unit.
constexpr Base::Duration MaxValidity = Base::seconds(5);

struct Change
{
    Base::Instant at;
    double factor = 1.0; ///< Of the limit.
    double share = 1.0; ///< Of the tolerance, in the same window.
};

Tolerance shareOf(const Tolerance &tolerance, double share)
{
    return {tolerance.window, tolerance.overage * share, tolerance.slack * share};
}

/// Most that a window may have of what was in force at some time of [from, to].
double mostAllowed(const RateLimit &limit, const Tolerance &tolerance, const std::vector<Change> &changes,
                   Base::Instant from, Base::Instant to)
{
    double most = 0.0;
    for (std::size_t index = 0; index < changes.size(); ++index) {
        const auto &change = changes[index];
        const bool endsBefore = index + 1 < changes.size() && changes[index + 1].at < from;
        if (change.at <= to && !endsBefore)
            most = std::max(
                most, Allowance::mostInWindow({limit.perSecond * change.factor, limit.burst * change.factor},
                                              shareOf(tolerance, change.share)));
    }
    return most;
}

/// Returns an explanation if a window has more than the limit and its tolerance allow.
std::string findExcess(const std::vector<Base::Instant> &spentAt, const RateLimit &limit,
                       const Tolerance &tolerance, const std::vector<Change> &changes)
{
    std::size_t first = 0;
    for (std::size_t last = 0; last < spentAt.size(); ++last) {
        while (spentAt[last] - spentAt[first] > tolerance.window)
            ++first;
        // The least that can be handed out is one whole unit.
        const double most =
            std::max(1.0, mostAllowed(limit, tolerance, changes,
                                      spentAt[last] - tolerance.window - MaxValidity, spentAt[last]));
        if (static_cast<double>(last - first + 1) > most)
            return fmt::format("{} in the window that ends at {} s, allowed {}", last - first + 1,
                               std::chrono::duration<double>(spentAt[last].time_since_epoch()).count(), most);
    }
    return {};
}

} // namespace

// Whatever happens to messages, gateways and leaders, no window exceeds the limit by more than the tolerance.
// Bursts come just before something breaks, because that is when most units are on their way.
RC_GTEST_PROP(AllowanceExplorer, NoWindowExceedsTheBound, ())
{
    const auto seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
    std::mt19937_64 pick(seed);
    const auto real = [&pick](double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(pick);
    };
    const auto duration = [&real](double low, double high) {
        return Base::Duration(static_cast<Base::Duration::rep>(real(low, high) * 1e6));
    };
    const std::size_t gateways = 1 + pick() % 6;
    AllowanceSimulation simulation(seed, gateways,
                                   {real(0.0, 0.1), real(0.0, 0.2), real(0.0, 0.5), Base::seconds(3)});
    const std::vector<RateLimit> limits {
        {0.2, 2.0}, {real(0.5, 5.0), real(0.0, 10.0)}, {real(10.0, 50.0), real(0.0, 100.0)}};
    const Tolerance tolerance {duration(1.0, 6.0), real(0.0, 0.2), pick() % 2 == 0 ? 0.0 : real(0.0, 5.0)};
    const bool limitsChange = pick() % 3 == 0;
    const bool toleranceChanges = pick() % 3 == 0;
    std::vector<Change> changes;
    const auto apply = [&](double factor, double share) {
        changes.push_back({simulation.now(), factor, share});
        Allowance::TermsByRule terms;
        for (std::size_t index = 0; index < limits.size(); ++index)
            terms[Allowance::tenantKey(fmt::format("{}", index))] = Allowance::termsFor(
                {limits[index].perSecond * factor, limits[index].burst * factor}, shareOf(tolerance, share));
        simulation.setTerms(terms);
    };
    const auto request = [&](std::size_t gateway, std::size_t limit) {
        simulation.request(gateway, Allowance::tenantKey(fmt::format("{}", limit)), simulation.unit() < 0.1);
    };
    apply(1.0, 1.0);
    simulation.advance(duration(0.0, 10.0));
    const auto end = simulation.now() + Base::seconds(25);
    double pressure = 1.0;
    double nextBurst = 0.0;
    while (simulation.now() < end) {
        const double chance = simulation.unit();
        const auto gateway = simulation.below(gateways);
        if (--nextBurst < 0.0) {
            // Long enough for the bucket to fill, or short enough to fall into the same window.
            nextBurst = pick() % 2 == 0 ? real(100.0, 600.0) : real(1.0, 100.0);
            for (std::size_t limit = 0; limit < limits.size(); ++limit) {
                for (auto count = static_cast<int>(2.0 * (limits[limit].perSecond + limits[limit].burst)) + 1;
                     count > 0; --count)
                    request(gateway, limit);
            }
            simulation.advance(duration(0.0, 0.015));
            if (const auto next = pick() % 4; next == 0)
                simulation.freeze(gateway, duration(0.0, 8.0));
            else if (next == 1)
                simulation.restart(gateway);
            else if (next == 2)
                simulation.loseLeader();
        } else if (chance < 0.03 && !simulation.hasLeader()) {
            simulation.electLeader(simulation.below(2));
        } else if (chance < 0.032 && limitsChange) {
            apply(real(0.2, 3.0), changes.back().share);
        } else if (chance >= 0.032 && chance < 0.034 && toleranceChanges) {
            apply(changes.back().factor, real(0.0, 1.5));
        } else if (chance < 0.04) {
            pressure = pick() % 4 != 0 ? 0.0 : real(0.5, 8.0);
        }
        for (std::size_t limit = 0; limit < limits.size(); ++limit) {
            const double expected = limits[limit].perSecond * pressure * 0.01;
            for (auto count = std::poisson_distribution<int>(expected + 1e-9)(pick); count > 0; --count)
                request(simulation.below(gateways), limit);
        }
        simulation.advance(Base::milliseconds(10));
    }
    for (std::size_t limit = 0; limit < limits.size(); ++limit) {
        const auto excess = findExcess(simulation.spentAt(Allowance::tenantKey(fmt::format("{}", limit))),
                                       limits[limit], tolerance, changes);
        RC_ASSERT(excess == std::string());
    }
}

namespace {

struct Load
{
    RateLimit limit;
    std::size_t gateways = 1;
    double factor = 1.0; ///< Of the limit, before the filter.
    bool conforming = true; ///< Requests beyond an ideal bucket are not sent.
    int minutes = 5;
};

struct Result
{
    std::size_t sent = 0;
    AllowanceSimulation::Counts counts;
    std::size_t calls = 0;
    std::string excess;
};

/// Poisson arrivals at random gateways, on a network without faults.
Result play(const Load &load, std::uint64_t seed, std::size_t fromGateway = 0)
{
    const Tolerance tolerance {Base::seconds(5), 0.1, 20.0};
    AllowanceSimulation simulation(seed, load.gateways, {});
    const auto key = Allowance::tenantKey("a");
    simulation.setTerms({{key, Allowance::termsFor(load.limit, tolerance)}});
    simulation.advance(Base::seconds(14));
    Result result;
    double level = load.limit.burst;
    auto levelAt = simulation.now();
    const auto end = simulation.now() + Base::seconds(60 * load.minutes);
    std::exponential_distribution<double> gap(load.limit.perSecond * load.factor);
    for (auto next = simulation.now(); next < end;
         next += Base::Duration(static_cast<Base::Duration::rep>(gap(simulation.engine()) * 1e6))) {
        // Short steps let timers of the stocks run when they are due.
        while (simulation.now() + Base::milliseconds(5) < next)
            simulation.advance(Base::milliseconds(5));
        simulation.advance(next - simulation.now());
        level = std::min(
            load.limit.burst,
            level + load.limit.perSecond * std::chrono::duration<double>(simulation.now() - levelAt).count());
        levelAt = simulation.now();
        if (load.conforming && level < 1.0)
            continue;
        level -= 1.0;
        ++result.sent;
        simulation.request(fromGateway + simulation.below(load.gateways - fromGateway), key);
    }
    simulation.advance(Base::seconds(2));
    result.counts = simulation.counts(key);
    result.calls = simulation.calls();
    result.excess = findExcess(simulation.spentAt(key), load.limit, tolerance, {{Base::Instant(), 1.0}});
    return result;
}

} // namespace

// A tenant that keeps to its limit must not lose requests because its units lie at other gateways.
TEST(AllowanceExplorer, BelowTheLimitHardlyAnythingIsRefused)
{
    const std::vector<RateLimit> limits {{0.2, 2}, {1, 2}, {2, 4}, {5, 5}, {17, 17}, {50, 10}, {300, 300}};
    for (const auto &limit : limits) {
        for (const std::size_t gateways : {1U, 12U}) {
            const int minutes = limit.perSecond < 2 ? 120 : limit.perSecond < 20 ? 10 : 1;
            const auto result = play({limit, gateways, 0.95, true, minutes}, 7);
            const auto refused = result.counts.overLimit + result.counts.unavailable;
            fmt::print("rate {} burst {} gateways {}: sent {}, over limit {}, unavailable {}, calls {}\n",
                       limit.perSecond, limit.burst, gateways, result.sent, result.counts.overLimit,
                       result.counts.unavailable, result.calls);
            EXPECT_LE(static_cast<double>(refused), 0.01 * static_cast<double>(result.sent))
                << limit.perSecond << " at " << gateways;
            EXPECT_EQ(result.excess, "");
        }
    }
}

// Units that end unused in stocks must not cost a tenant its rate when it sends far more than that.
TEST(AllowanceExplorer, OverTheLimitTheRateIsReached)
{
    for (const double rate : {17.0, 200.0}) {
        for (const std::size_t gateways : {1U, 12U, 40U}) {
            const auto result = play({{rate, rate}, gateways, 8.0, false, 1}, 11);
            fmt::print("8 times {}, {} gateways: sent {}, spent {}, calls {}\n", rate, gateways, result.sent,
                       result.counts.spent, result.calls);
            EXPECT_GE(static_cast<double>(result.counts.spent), rate * 60 * 0.99);
            EXPECT_EQ(result.excess, "");
            // No message for each refused request: a gateway that was denied waits for 100 ms.
            EXPECT_LE(result.calls, result.counts.spent + gateways * 10 * 60);
        }
    }
}

// A tenant that sends far more than its limit for seconds may use rate x window + burst in each window; what
// is refused below that was owed to it.
TEST(AllowanceExplorer, FloodUsesTheWholeLimitOfEachWindow)
{
    const RateLimit limit {14, 14};
    const Tolerance tolerance {Base::seconds(5), 0.1, 20.0};
    const auto key = Allowance::tenantKey("a");
    AllowanceSimulation simulation(17, 71, {});
    simulation.setCallInterval(Base::milliseconds(35));
    simulation.setTerms({{key, Allowance::termsFor(limit, tolerance)}});
    simulation.advance(Base::seconds(14));
    const auto start = simulation.now();
    for (int step = 0; step < 12 * 100; ++step) {
        if (simulation.unit() < 0.45)
            simulation.request(simulation.below(71), key);
        simulation.advance(Base::milliseconds(10));
    }
    const auto spent = simulation.spentAt(key);
    const auto allowed =
        static_cast<std::ptrdiff_t>(limit.perSecond * 5 + limit.burst); // For a window of 5 s.
    for (int from = 0; from <= 7; ++from) {
        const auto begin = start + Base::seconds(from);
        const auto count = std::count_if(spent.begin(), spent.end(), [begin](Base::Instant at) {
            return at >= begin && at < begin + Base::seconds(5);
        });
        EXPECT_GE(count, allowed * 98 / 100) << "from second " << from;
    }
    EXPECT_EQ(findExcess(spent, limit, tolerance, {{Base::Instant(), 1.0}}), "");
}

// The worst moment of a freeze: the answer with all units is on its way, and the bucket fills again
// meanwhile.
TEST(AllowanceExplorer, WokenGatewayDoesNotAddItsOldUnits)
{
    const RateLimit limit {20, 40};
    const Tolerance tolerance {Base::seconds(5), 0.02, 0.0};
    const auto key = Allowance::tenantKey("a");
    AllowanceSimulation simulation(3, 2, {});
    simulation.setTerms({{key, Allowance::termsFor(limit, tolerance)}});
    simulation.advance(Base::seconds(14));
    for (int count = 0; count < 100; ++count)
        simulation.request(0, key);
    // The first call asks for one request, the second one for all others.
    while (simulation.calls() < 2)
        simulation.advance(Base::microseconds(100));
    simulation.advance(Base::microseconds(1500));
    simulation.freeze(0, Base::seconds(4));
    simulation.advance(Base::seconds(4));
    for (int step = 0; step < 600; ++step) {
        for (int count = 0; count < 2; ++count)
            simulation.request(count, key);
        simulation.advance(Base::milliseconds(10));
    }
    EXPECT_GT(simulation.spentAt(key).size(), 100U);
    EXPECT_EQ(findExcess(simulation.spentAt(key), limit, tolerance, {{Base::Instant(), 1.0}}), "");
}

// Memory and messages are bounded by the gateways and the tenants, not by the requests. The few large tenants
// send half of all; each request goes to a random gateway, which is the worst case for stocks.
TEST(AllowanceExplorer, ManyGatewaysAndTenants)
{
    const std::size_t gateways = 680;
    const std::size_t tenants = 10'000;
    const double requestsPerSecond = 10'000.0;
    const int duration = 10;
    const Tolerance tolerance {Base::seconds(5), 0.1, 20.0};
    AllowanceSimulation simulation(5, gateways, {});
    simulation.setCallInterval(Base::milliseconds(100));
    Allowance::TermsByRule terms;
    for (std::size_t tenant = 0; tenant < tenants; ++tenant) {
        const double rate = tenant < 10 ? 1'000.0 : 2.0;
        terms[Allowance::tenantKey(fmt::format("tenant-{}", tenant))] =
            Allowance::termsFor({rate, rate}, tolerance);
    }
    simulation.setTerms(terms);
    simulation.advance(Base::seconds(14));
    const auto requestsPerStep = static_cast<int>(requestsPerSecond * 0.005);
    for (int step = 0; step < duration * 200; ++step) {
        for (int count = 0; count < requestsPerStep; ++count) {
            const auto tenant = count % 2 == 0 ? simulation.below(10) : simulation.below(tenants);
            simulation.request(simulation.below(gateways),
                               Allowance::tenantKey(fmt::format("tenant-{}", tenant)));
        }
        simulation.advance(Base::milliseconds(5));
    }
    fmt::print(
        "{} gateways, {} tenants, {} requests/s: {:.0f} calls/s, {:.0f} kB/s, {} buckets at the leader, "
        "at most {} keys at a gateway\n",
        gateways, tenants, requestsPerSecond, static_cast<double>(simulation.calls()) / duration,
        static_cast<double>(simulation.bytes()) / 1000.0 / duration, simulation.buckets(),
        simulation.mostKeysHeld());
    std::size_t refused = 0;
    for (std::size_t tenant = 0; tenant < tenants; ++tenant) {
        const auto &counts = simulation.counts(Allowance::tenantKey(fmt::format("tenant-{}", tenant)));
        refused += counts.overLimit + counts.unavailable;
    }
    EXPECT_LE(static_cast<double>(refused), 0.01 * requestsPerSecond * duration);
    EXPECT_LE(simulation.calls(), gateways * 10 * (duration + 1));
    EXPECT_LE(simulation.buckets(), tenants);
    EXPECT_LE(simulation.mostKeysHeld(), tenants);
}

// A server that is cold breaks down above its rate and warms up only by what it gets.
TEST(AllowanceExplorer, ColdServerGetsItsRateAndNoMore)
{
    const RateLimit limit {10.0, 0.0};
    const Tolerance tolerance {Base::seconds(1), 0.5, 5.0};
    for (const std::size_t gateways : {1U, 5U, 24U}) {
        for (const double demand : {5.0, 10.0, 100.0}) {
            AllowanceSimulation simulation(9, gateways, {});
            const auto key = Allowance::coldServerKey("s", "i", 1);
            simulation.setTerms({{Allowance::coldServiceRule("s"), Allowance::termsFor(limit, tolerance)}});
            simulation.advance(Base::seconds(14));
            for (int step = 0; step < 60 * 200; ++step) {
                if (simulation.unit() < demand * 0.005)
                    simulation.requestAtOnce(simulation.below(gateways), key);
                simulation.advance(Base::milliseconds(5));
            }
            const auto spent = simulation.spentAt(key).size();
            fmt::print("cold server of 10/s, demand {}/s at {} gateways: {:.1f}/s, {} calls\n", demand,
                       gateways, static_cast<double>(spent) / 60.0, simulation.calls());
            EXPECT_EQ(findExcess(simulation.spentAt(key), limit, tolerance, {{Base::Instant(), 1.0}}), "");
            if (demand >= 100.0) {
                EXPECT_GE(static_cast<double>(spent), 0.9 * 10.0 * 60.0);
            }
        }
    }
}
