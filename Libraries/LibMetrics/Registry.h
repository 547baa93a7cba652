#pragma once

#include "LibMetrics/Counter.h"
#include "LibMetrics/Gauge.h"
#include "LibMetrics/Labels.h"
#include "LibMetrics/LatencyHistogram.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Metrics {

/// All metrics of one process by name and labels. Thread-safe; references stay valid as long as the registry.
///
/// Names carry their unit, for example "_seconds". A name is used with one type only.
class Registry
{
public:
    /// Return the series with these labels, adding it when it is new. `help` is kept from the first use.
    Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});
    LatencyHistogram &histogram(const std::string &name, const std::string &help, const Labels &labels = {});

    /// Prometheus text format; histograms are written as summaries in seconds.
    std::string prometheusText() const;

private:
    template<typename Metric>
    struct Family
    {
        std::string help;
        std::map<std::string, std::pair<Labels, std::unique_ptr<Metric>>> series;
    };

    template<typename Metric>
    using Families = std::map<std::string, Family<Metric>>;

    template<typename Metric>
    Metric &find(Families<Metric> &families, const std::string &name, const std::string &help,
                 const Labels &labels);

    mutable std::mutex mutex_;
    Families<Counter> counters_;
    Families<Gauge> gauges_;
    Families<LatencyHistogram> histograms_;
};

} // namespace Metrics
