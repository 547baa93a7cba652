#pragma once

#include "LibMetrics/Registry.h"

#include <string>
#include <unordered_map>

namespace Services {

/// Counters and histograms of a gateway. Series by route are looked up once and cached.
class GatewayMetrics
{
public:
    void requestAnswered(const std::string &route, const std::string &outcome, Base::Duration duration);
    void attemptEnded(const std::string &result);
    /// A server has said of itself that it is about to leave.
    void serverNotice(const std::string &kind);
    /// A request had to wait for room that tenants share, or was refused for it.
    void roomShared(const std::string &result, bool aboveShare);
    /// What became of a request for a unit of an allowance.
    void allowanceTaking(const std::string &result);
    /// A call to the leader for units has ended.
    void allowanceCall(const std::string &result);
    /// The learned limit of a server has changed by half or more.
    void serverLimitChanged(const std::string &direction);
    void setGauge(const char *name, const char *help, double value);

    Metrics::Registry &registry() { return registry_; }

private:
    Metrics::Registry registry_;
    std::unordered_map<std::string, Metrics::Counter *> outcomes_; ///< By route and outcome.
    std::unordered_map<std::string, Metrics::LatencyHistogram *> durations_; ///< By route.
};

} // namespace Services
