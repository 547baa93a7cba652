#pragma once

#include "LibRoute/Configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Route {

/// Maps requests to routes. Immutable and shared, so that a request keeps the version in force at its start.
class RouteTable
{
public:
    explicit RouteTable(Configuration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    const Configuration &configuration() const { return configuration_; }
    std::uint64_t version() const { return configuration_.version; }

    /// Returns the route of this host with the longest prefix of `path`, or null. The port and the case of
    /// `host` are ignored. The time depends on the prefixes in the table, not on the path.
    const RouteRule *find(std::string_view host, std::string_view path) const;

private:
    Configuration configuration_;
    std::unordered_map<std::string, const RouteRule *> routes_; ///< By host and prefix, concatenated.
    /// Of all prefixes, longest first, each once.
    std::vector<std::size_t> prefixSizes_;
};

/// Returns `host` in lower case without its port.
std::string normaliseHost(std::string_view host);

} // namespace Route
