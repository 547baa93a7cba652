#include "LibMetrics/Registry.h"

#include <array>
#include <fmt/format.h>

namespace Metrics {

namespace {

constexpr std::array<std::pair<double, const char *>, 5> ReportedQuantiles {{
    {0.5, "0.5"},
    {0.9, "0.9"},
    {0.95, "0.95"},
    {0.99, "0.99"},
    {0.999, "0.999"},
}};

constexpr double MicrosecondsPerSecond = 1e6;

double toSeconds(Base::Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

void appendHead(std::string &text, const std::string &name, const std::string &help, const char *type)
{
    fmt::format_to(std::back_inserter(text), "# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void appendSummary(std::string &text, const std::string &name, const Labels &labels,
                   const LatencyHistogram &metric)
{
    for (const auto &[quantile, quantileName] : ReportedQuantiles) {
        auto withQuantile = labels;
        withQuantile.emplace_back("quantile", quantileName);
        fmt::format_to(std::back_inserter(text), "{}{} {}\n", name, formatLabels(withQuantile),
                       toSeconds(metric.quantile(quantile)));
    }
    const auto plain = formatLabels(labels);
    fmt::format_to(std::back_inserter(text), "{}_sum{} {}\n", name, plain, toSeconds(metric.sum()));
    fmt::format_to(std::back_inserter(text), "{}_count{} {}\n", name, plain, metric.count());
}

} // namespace

template<typename Metric>
Metric &Registry::find(Families<Metric> &families, const std::string &name, const std::string &help,
                       const Labels &labels)
{
    const std::lock_guard lock(mutex_);
    auto &family = families.try_emplace(name, Family<Metric> {help, {}}).first->second;
    auto &[seriesLabels, metric] = family.series[formatLabels(labels)];
    if (!metric) {
        seriesLabels = labels;
        metric = std::make_unique<Metric>();
    }
    return *metric;
}

Counter &Registry::counter(const std::string &name, const std::string &help, const Labels &labels)
{
    return find(counters_, name, help, labels);
}

Gauge &Registry::gauge(const std::string &name, const std::string &help, const Labels &labels)
{
    return find(gauges_, name, help, labels);
}

LatencyHistogram &Registry::histogram(const std::string &name, const std::string &help, const Labels &labels)
{
    return find(histograms_, name, help, labels);
}

std::string Registry::prometheusText() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto &[name, family] : counters_) {
        appendHead(text, name, family.help, "counter");
        for (const auto &[labelText, series] : family.series)
            fmt::format_to(std::back_inserter(text), "{}{} {}\n", name, labelText, series.second->value());
    }
    for (const auto &[name, family] : gauges_) {
        appendHead(text, name, family.help, "gauge");
        for (const auto &[labelText, series] : family.series)
            fmt::format_to(std::back_inserter(text), "{}{} {}\n", name, labelText, series.second->value());
    }
    for (const auto &[name, family] : histograms_) {
        appendHead(text, name, family.help, "summary");
        for (const auto &[labelText, series] : family.series)
            appendSummary(text, name, series.first, *series.second);
    }
    return text;
}

} // namespace Metrics
