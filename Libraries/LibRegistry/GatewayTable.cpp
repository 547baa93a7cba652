#include "LibRegistry/GatewayTable.h"

#include <algorithm>
#include <xxhash.h>

namespace Registry {

namespace {

/// Retention of a silent gateway, so that a delayed relayed report does not make it reappear as new.
constexpr Base::Duration EntryRetention = Base::seconds(10);

template<typename Content>
std::uint64_t digestOfEncoded(const Content &content)
{
    const auto bytes = Wire::encode(content);
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace

void GatewayTable::report(Base::Instant now, const Wire::GatewayRecord &gateway)
{
    update(gateway, now, true);
}

void GatewayTable::relay(Base::Instant now, const std::vector<Wire::GatewayReport> &reports)
{
    for (const auto &report : reports)
        update(report.gateway, now - Base::milliseconds(report.ageMs), true);
}

void GatewayTable::merge(Base::Instant now, const std::vector<Wire::GatewayReport> &reports)
{
    for (const auto &report : reports)
        update(report.gateway, now - Base::milliseconds(report.ageMs), false);
}

void GatewayTable::update(const Wire::GatewayRecord &gateway, Base::Instant reportedAt, bool firstHand)
{
    auto &entry = entries_[gateway.gatewayId];
    if (!entry.gateway.gatewayId.empty() && entry.reportedAt >= reportedAt)
        return;
    // Leaving is final for one incarnation: a delayed report must not set it back to serving.
    const bool hasLeft = entry.gateway.incarnation == gateway.incarnation
                         && entry.gateway.state == Wire::GatewayState::Leaving;
    entry.gateway = gateway;
    if (hasLeft)
        entry.gateway.state = Wire::GatewayState::Leaving;
    entry.reportedAt = reportedAt;
    entry.firstHand = firstHand;
}

std::vector<Wire::GatewayReport> GatewayTable::firstHandReports(Base::Instant now) const
{
    std::vector<Wire::GatewayReport> reports;
    for (const auto &[id, entry] : entries_) {
        if (entry.firstHand && now - entry.reportedAt < ReportTimeout)
            reports.push_back({entry.gateway,
                               static_cast<std::uint32_t>((now - entry.reportedAt) / Base::milliseconds(1))});
    }
    return reports;
}

std::vector<Wire::GatewayRecord> GatewayTable::serving(Base::Instant now) const
{
    std::vector<Wire::GatewayRecord> gateways;
    for (const auto &[id, entry] : entries_) {
        if (entry.gateway.state == Wire::GatewayState::Serving && now - entry.reportedAt < ReportTimeout)
            gateways.push_back(entry.gateway);
    }
    return gateways;
}

void GatewayTable::tick(Base::Instant now)
{
    std::erase_if(entries_,
                  [now](const auto &item) { return now - item.second.reportedAt > EntryRetention; });
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
