#include "LibRegistry/GatewayTable.h"

#include <algorithm>
#include <xxhash.h>

namespace Registry {

namespace {

/// A silent gateway is kept this long, so that a late relayed report does not bring it back as new.
constexpr Base::Duration ForgetAfter = Base::seconds(10);

template<typename Content>
std::uint64_t digestOfEncoded(const Content &content)
{
    const auto bytes = Wire::encode(content);
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace

void GatewayTable::report(Base::Instant now, const Wire::GatewayRecord &gateway)
{
    put(gateway, now, true);
}

void GatewayTable::relay(Base::Instant now, const std::vector<Wire::GatewayReport> &reports)
{
    for (const auto &report : reports)
        put(report.gateway, now - Base::milliseconds(report.ageMs), true);
}

void GatewayTable::merge(Base::Instant now, const std::vector<Wire::GatewayReport> &reports)
{
    for (const auto &report : reports)
        put(report.gateway, now - Base::milliseconds(report.ageMs), false);
}

void GatewayTable::put(const Wire::GatewayRecord &gateway, Base::Instant reportedAt, bool direct)
{
    auto &entry = entries_[gateway.gatewayId];
    if (!entry.gateway.gatewayId.empty() && entry.reportedAt >= reportedAt)
        return;
    // A start that announced its end stays ended, whatever a delayed report of it says.
    const bool ended = entry.gateway.incarnation == gateway.incarnation
                       && entry.gateway.state == Wire::GatewayState::Leaving;
    entry.gateway = gateway;
    if (ended)
        entry.gateway.state = Wire::GatewayState::Leaving;
    entry.reportedAt = reportedAt;
    entry.direct = direct;
}

std::vector<Wire::GatewayReport> GatewayTable::heardDirectly(Base::Instant now) const
{
    std::vector<Wire::GatewayReport> reports;
    for (const auto &[id, entry] : entries_) {
        if (entry.direct && now - entry.reportedAt < SilenceLimit)
            reports.push_back({entry.gateway,
                               static_cast<std::uint32_t>((now - entry.reportedAt) / Base::milliseconds(1))});
    }
    return reports;
}

std::vector<Wire::GatewayRecord> GatewayTable::serving(Base::Instant now) const
{
    std::vector<Wire::GatewayRecord> gateways;
    for (const auto &[id, entry] : entries_) {
        if (entry.gateway.state == Wire::GatewayState::Serving && now - entry.reportedAt < SilenceLimit)
            gateways.push_back(entry.gateway);
    }
    return gateways;
}

void GatewayTable::tick(Base::Instant now)
{
    std::erase_if(entries_, [now](const auto &item) { return now - item.second.reportedAt > ForgetAfter; });
}

std::uint64_t digestOf(const std::vector<Wire::GatewayRecord> &gateways)
{
    return digestOfEncoded(gateways);
}

std::uint64_t digestOf(const std::vector<Wire::ServerRecord> &servers)
{
    return digestOfEncoded(servers);
}

} // namespace Registry
