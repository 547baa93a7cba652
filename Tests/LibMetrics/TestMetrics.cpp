#include "LibMetrics/Registry.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

namespace Metrics {

// Guards against quantiles off by more than the width of a bin.
RC_GTEST_PROP(LatencyHistogram, QuantileIsWithinOneBin, ())
{
    auto samples =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(200, 50'000'000)));
    LatencyHistogram histogram;
    for (const auto sample : samples)
        histogram.record(Base::microseconds(sample));
    std::sort(samples.begin(), samples.end());
    const auto q = *rc::gen::elementOf(std::vector<double> {0.1, 0.5, 0.95, 1.0});
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(samples.size())));
    const auto exact = static_cast<double>(samples[std::max<std::size_t>(rank, 1) - 1]);
    const auto estimate = static_cast<double>(histogram.quantile(q).count());
    RC_ASSERT(estimate > exact * 0.93 - 1.0);
    RC_ASSERT(estimate < exact * 1.08 + 1.0);
}

// Guards against durations outside the axis that are lost.
TEST(LatencyHistogram, CountsDurationsOutsideTheAxis)
{
    LatencyHistogram histogram;
    EXPECT_EQ(histogram.quantile(0.5), Base::Duration {});
    histogram.record(Base::microseconds(0));
    histogram.record(Base::seconds(600));
    EXPECT_EQ(histogram.count(), 2U);
    EXPECT_EQ(histogram.sum(), Base::seconds(600));
    EXPECT_EQ(histogram.quantile(0.1), Base::microseconds(100));
    EXPECT_EQ(histogram.quantile(1.0), Base::seconds(60));
}

// Guards against lost updates and against series that move while others are added.
TEST(Registry, IsThreadSafe)
{
    Registry registry;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&registry] {
            for (int number = 0; number < 1000; ++number) {
                registry.counter("total", "h", {{"class", std::to_string(number % 10)}}).add();
                registry.histogram("wait_seconds", "h").record(Base::milliseconds(1));
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    EXPECT_EQ(registry.counter("total", "h", {{"class", "3"}}).value(), 400U);
    EXPECT_EQ(registry.histogram("wait_seconds", "h").count(), 4000U);
}

// Guards against text that Prometheus rejects, for example for quotes in a label.
TEST(Registry, WritesPrometheusText)
{
    Registry registry;
    registry.counter("b_total", "Count.", {{"tenant", "a\"b\\c\nd"}}).add(3);
    registry.gauge("g", "Level.").set(1.5);
    registry.histogram("w_seconds", "Wait.", {{"server", "s"}}).record(Base::seconds(600));
    EXPECT_EQ(registry.prometheusText(), "# HELP b_total Count.\n# TYPE b_total counter\n"
                                         "b_total{tenant=\"a\\\"b\\\\c\\nd\"} 3\n"
                                         "# HELP g Level.\n# TYPE g gauge\ng 1.5\n"
                                         "# HELP w_seconds Wait.\n# TYPE w_seconds summary\n"
                                         "w_seconds{server=\"s\",quantile=\"0.5\"} 60\n"
                                         "w_seconds{server=\"s\",quantile=\"0.9\"} 60\n"
                                         "w_seconds{server=\"s\",quantile=\"0.95\"} 60\n"
                                         "w_seconds{server=\"s\",quantile=\"0.99\"} 60\n"
                                         "w_seconds{server=\"s\",quantile=\"0.999\"} 60\n"
                                         "w_seconds_sum{server=\"s\"} 600\n"
                                         "w_seconds_count{server=\"s\"} 1\n");
}

// Guards against a counter that goes back.
TEST(Counter, RaiseToNeverLowers)
{
    Counter counter;
    counter.raiseTo(5);
    counter.raiseTo(3);
    EXPECT_EQ(counter.value(), 5U);
}

} // namespace Metrics
