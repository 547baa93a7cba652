#include "LibRoute/Configuration.h"

#include <fmt/format.h>
#include <numeric>
#include <set>

namespace Route {

namespace {

void checkTargets(const Configuration &configuration, const RouteRule &route,
                  std::vector<std::string> &mistakes)
{
    double total = 0.0;
    for (const auto &target : route.targets) {
        if (configuration.services.find(target.service) == configuration.services.end())
            mistakes.push_back(
                fmt::format("route {}: service {} is not defined", route.name, target.service));
        if (target.weight < 0.0)
            mistakes.push_back(fmt::format("route {}: target weight is negative", route.name));
        total += target.weight;
    }
    if (!route.gather && total <= 0.0)
        mistakes.push_back(
            fmt::format("route {}: sum of the target weights must be greater than 0", route.name));
}

void checkGather(const Configuration &configuration, const RouteRule &route,
                 std::vector<std::string> &mistakes)
{
    std::set<std::string_view> seen;
    for (const auto &shard : route.gather->shards) {
        if (configuration.services.find(shard) == configuration.services.end())
            mistakes.push_back(fmt::format("route {}: service {} is not defined", route.name, shard));
        if (!seen.insert(shard).second)
            mistakes.push_back(fmt::format("route {}: shard {} is listed twice", route.name, shard));
    }
    if (route.gather->shards.empty())
        mistakes.push_back(fmt::format("route {}: gather lists no shards", route.name));
    if (route.repeatability != Repeatability::Idempotent)
        mistakes.push_back(fmt::format("route {}: a gather route must be idempotent", route.name));
}

void checkRoute(const Configuration &configuration, const RouteRule &route,
                std::vector<std::string> &mistakes)
{
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/'))
        mistakes.push_back(fmt::format("route {}: path prefix must begin and end with a slash", route.name));
    if (route.timeout <= Base::Duration::zero())
        mistakes.push_back(fmt::format("route {}: timeout must be greater than 0", route.name));
    checkTargets(configuration, route, mistakes);
    if (route.gather)
        checkGather(configuration, route, mistakes);
}

} // namespace

std::vector<std::string> findMistakes(const Configuration &configuration)
{
    std::vector<std::size_t> all(configuration.routes.size());
    std::iota(all.begin(), all.end(), 0);
    return findMistakes(configuration, all);
}

std::vector<std::string> findMistakes(const Configuration &configuration,
                                      std::span<const std::size_t> changed)
{
    std::vector<std::string> mistakes;
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const auto &route : configuration.routes) {
        if (!places.emplace(route.host, route.prefix).second)
            mistakes.push_back(fmt::format("route {}: another route already has host and prefix {}{}",
                                           route.name, route.host, route.prefix));
    }
    for (const auto position : changed)
        checkRoute(configuration, configuration.routes[position], mistakes);
    return mistakes;
}

} // namespace Route
