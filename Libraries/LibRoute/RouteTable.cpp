#include "LibRoute/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <functional>
#include <set>

namespace Route {

std::string normaliseHost(std::string_view host)
{
    if (const auto colon = host.rfind(':'); colon != std::string_view::npos && !host.ends_with(']'))
        host = host.substr(0, colon);
    std::string normal(host);
    std::transform(normal.begin(), normal.end(), normal.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return normal;
}

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration))
{
    routes_.reserve(configuration_.routes.size());
    for (const auto &route : configuration_.routes)
        routes_.emplace(normaliseHost(route.host) + route.prefix, &route);
    std::set<std::size_t, std::greater<>> sizes;
    for (const auto &route : configuration_.routes)
        sizes.insert(route.prefix.size());
    prefixSizes_.assign(sizes.begin(), sizes.end());
}

const RouteRule *RouteTable::find(std::string_view host, std::string_view path) const
{
    if (!path.starts_with('/'))
        return nullptr;
    const auto normalHost = normaliseHost(host);
    std::string key;
    for (const auto size : prefixSizes_) {
        // Prefixes end with a slash.
        if (size > path.size() || path[size - 1] != '/')
            continue;
        key.assign(normalHost).append(path.substr(0, size));
        if (const auto found = routes_.find(key); found != routes_.end())
            return found->second;
    }
    return nullptr;
}

} // namespace Route
