#include "LibRoute/Configuration.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <set>
#include <unordered_map>

namespace Route {

namespace {

void checkTargets(const Configuration &configuration, const RouteRule &route,
                  std::span<const WeightedService> targets, Base::MistakeList &mistakes)
{
    double total = 0.0;
    for (const auto &target : targets) {
        if (configuration.services.find(target.service) == configuration.services.end())
            mistakes.add("route {}: service {} is not defined", route.name, target.service);
        if (target.weight < 0.0)
            mistakes.add("route {}: target weight is negative", route.name);
        total += target.weight;
    }
    if (total <= 0.0)
        mistakes.add("route {}: sum of the target weights must be greater than 0", route.name);
}

void checkGather(const Configuration &configuration, const RouteRule &route, Base::MistakeList &mistakes)
{
    std::set<std::string_view> seen;
    for (const auto &shard : route.gather->shards) {
        if (configuration.services.find(shard) == configuration.services.end())
            mistakes.add("route {}: service {} is not defined", route.name, shard);
        if (!seen.insert(shard).second)
            mistakes.add("route {}: shard {} is listed twice", route.name, shard);
    }
    if (route.gather->shards.empty())
        mistakes.add("route {}: gather lists no shards", route.name);
    if (route.repeatability != Repeatability::Idempotent)
        mistakes.add("route {}: a gather route must be idempotent", route.name);
}

void checkRoute(const Configuration &configuration, const RouteRule &route, Base::MistakeList &mistakes)
{
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/'))
        mistakes.add("route {}: path prefix must begin and end with a slash", route.name);
    if (route.timeout <= Base::Duration::zero())
        mistakes.add("route {}: timeout must be greater than 0", route.name);
    if (route.gather)
        checkGather(configuration, route, mistakes);
    else
        checkTargets(configuration, route, route.targets, mistakes);
    for (const auto &targets : route.unusedTargets)
        checkTargets(configuration, route, targets, mistakes);
}

/// A name is sent to backend servers as the value of a header.
bool isHeaderValue(std::string_view text)
{
    const auto isVisible = [](unsigned char c) { return c >= 0x20 && c != 0x7f; };
    return !text.empty() && text.front() != ' ' && text.back() != ' '
           && std::all_of(text.begin(), text.end(), isVisible);
}

void checkTenants(const Configuration &configuration, Base::MistakeList &mistakes)
{
    std::set<std::string_view> names;
    std::unordered_map<KeyDigest, const TenantRule *, KeyDigestHash> holders;
    const auto emptyKey = digestOfKey({});
    for (const auto &tenant : configuration.tenantRules()) {
        if (!isHeaderValue(tenant.name))
            mistakes.add("tenants: a name is empty or holds characters that a header may not hold");
        else if (!names.insert(tenant.name).second)
            mistakes.add("tenant {}: another tenant already has this name", tenant.name);
        for (const auto &key : tenant.keys) {
            if (key == emptyKey)
                mistakes.add("tenant {}: a key is empty", tenant.name);
            const auto [holder, isNew] = holders.emplace(key, &tenant);
            if (!isNew && holder->second != &tenant)
                mistakes.add("tenant {}: tenant {} has the same key", tenant.name, holder->second->name);
        }
    }
}

} // namespace

Base::MistakeList findMistakes(const Configuration &configuration)
{
    std::vector<std::size_t> all(configuration.routes.size());
    std::iota(all.begin(), all.end(), 0);
    Base::MistakeList mistakes;
    findMistakes(configuration, {all, true}, mistakes);
    return mistakes;
}

void findMistakes(const Configuration &configuration, const ChangedParts &changed,
                  Base::MistakeList &mistakes)
{
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const auto &route : configuration.routes) {
        if (!places.emplace(route.host, route.prefix).second)
            mistakes.add("route {}: another route already has host and prefix {}{}", route.name, route.host,
                         route.prefix);
    }
    for (const auto position : changed.routes) {
        if (!mistakes.isFull())
            checkRoute(configuration, configuration.routes[position], mistakes);
    }
    if (changed.tenants)
        checkTenants(configuration, mistakes);
}

} // namespace Route
