#include "Services/Gateway/GatewayMetrics.h"

namespace Services {

namespace {

/// Maximum number of routes with their own series; others share one, which bounds the memory.
constexpr std::size_t MaxRoutes = 40;
constexpr const char *OtherRoutes = "other";

} // namespace

void GatewayMetrics::requestAnswered(const std::string &route, const std::string &outcome,
                                     Base::Duration duration)
{
    const bool known = durations_.find(route) != durations_.end();
    const std::string label = known || durations_.size() < MaxRoutes ? route : OtherRoutes;
    auto &histogram = durations_[label];
    if (histogram == nullptr)
        histogram = &registry_.histogram("daisyroute_request_seconds", "Time until the answer was sent.",
                                         {{"route", label}});
    histogram->record(duration);
    auto &counter = outcomes_[label + '\n' + outcome];
    if (counter == nullptr)
        counter = &registry_.counter("daisyroute_requests_total", "Requests by route and outcome.",
                                     {{"route", label}, {"outcome", outcome}});
    counter->add();
}

void GatewayMetrics::attemptEnded(const std::string &result)
{
    auto &counter = outcomes_['\n' + result];
    if (counter == nullptr)
        counter = &registry_.counter("daisyroute_attempts_total", "Sends to backend servers by result.",
                                     {{"result", result}});
    counter->add();
}

void GatewayMetrics::serverNotice(const std::string &kind)
{
    registry_
        .counter("daisyroute_server_notices_total", "Announcements of backend servers of themselves.",
                 {{"kind", kind}})
        .add();
}

void GatewayMetrics::roomShared(const std::string &result, bool aboveShare)
{
    registry_
        .counter("daisyroute_scarce_room_total",
                 "Requests that waited or were refused for lack of room, by whether their tenant's waiting "
                 "work exceeded its share.",
                 {{"result", result}, {"tenant_class", aboveShare ? "above_share" : "below_share"}})
        .add();
}

void GatewayMetrics::allowanceTaking(const std::string &result)
{
    registry_
        .counter("daisyroute_allowance_takings_total",
                 "Requests that need a unit of an allowance, by result.", {{"result", result}})
        .add();
}

void GatewayMetrics::allowanceCall(const std::string &result)
{
    registry_
        .counter("daisyroute_allowance_calls_total", "Calls to the registries' leader for units, by result.",
                 {{"result", result}})
        .add();
}

void GatewayMetrics::serverLimitChanged(const std::string &direction)
{
    registry_
        .counter("daisyroute_server_limit_changes_total",
                 "Large changes of the learned limit of concurrent attempts at a backend server.",
                 {{"direction", direction}})
        .add();
}

void GatewayMetrics::setGauge(const char *name, const char *help, double value)
{
    registry_.gauge(name, help).set(value);
}

} // namespace Services
