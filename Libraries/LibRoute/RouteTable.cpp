#include "LibRoute/RouteTable.h"

#include <algorithm>
#include <cctype>

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
}

const RouteRule *RouteTable::find(std::string_view host, std::string_view path) const
{
    if (!path.starts_with('/'))
        return nullptr;
    auto key = normaliseHost(host);
    const auto hostSize = key.size();
    key += path;
    // Prefixes end with a slash, so each slash in the path ends one candidate, longest first.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        key.resize(hostSize + slash + 1);
        if (const auto found = routes_.find(key); found != routes_.end())
            return found->second;
    }
    return nullptr;
}

} // namespace Route
