#include "LibRegistry/GatewayChoice.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <xxhash.h>

namespace Registry {

namespace {

/// Gateways below this fraction of the largest processor share are weak: they answer more slowly. Spreading
/// requests over them as well leaves each gateway with fewer open connections and less information about the
/// servers.
constexpr double StrongProcessorFraction = 0.6;
/// With fewer strong gateways than this, losing one would cost more than also using the slower ones.
constexpr std::size_t MinStrongGateways = 3;
/// Weak gateways used in each data centre in addition to the strong ones. The strong ones are often the VMs
/// with a disk and may lose power together, and a caller has only two attempts.
constexpr std::size_t WeakGatewaysPerDataCentre = 2;

struct Ranked
{
    double processorShare = 0.0;
    std::size_t rankInDataCentre = 0; ///< Among equal gateways; interleaves data centres.
    std::uint64_t hash = 0;
    Wire::GatewayRecord gateway;
};

/// Orders gateways by descending processor share; equal ones alternate between data centres.
std::vector<Ranked> rankGateways(std::vector<Wire::GatewayRecord> gateways)
{
    std::vector<Ranked> ranked;
    ranked.reserve(gateways.size());
    for (auto &gateway : gateways) {
        const auto hash = XXH3_64bits(gateway.gatewayId.data(), gateway.gatewayId.size());
        ranked.push_back({gateway.processorShare, 0, hash, std::move(gateway)});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return std::tuple(-left.processorShare, left.hash) < std::tuple(-right.processorShare, right.hash);
    });
    std::map<std::pair<std::string, double>, std::size_t> perDataCentre; // Also keyed by processor share.
    for (auto &item : ranked)
        item.rankInDataCentre = perDataCentre[{item.gateway.dataCentre, item.processorShare}]++;
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return std::tuple(-left.processorShare, left.rankInDataCentre, left.hash)
               < std::tuple(-right.processorShare, right.rankInDataCentre, right.hash);
    });
    return ranked;
}

double largestProcessorShare(const std::vector<Wire::GatewayRecord> &gateways)
{
    double largest = 0.0;
    for (const auto &gateway : gateways)
        largest = std::max(largest, gateway.processorShare);
    return largest;
}

/// Returns the strong gateways plus a few weak ones that suit gathers, or all if too few are strong.
std::vector<Wire::GatewayRecord> selectCandidates(const std::vector<Wire::GatewayRecord> &serving)
{
    const auto largest = largestProcessorShare(serving);
    std::set<std::string_view> dataCentres;
    for (const auto &gateway : serving)
        dataCentres.insert(gateway.dataCentre);
    std::vector<Wire::GatewayRecord> chosen;
    std::vector<Wire::GatewayRecord> weak;
    for (const auto &gateway : serving) {
        if (gateway.processorShare >= StrongProcessorFraction * largest)
            chosen.push_back(gateway);
        else if (gateway.suitsGathers)
            weak.push_back(gateway);
    }
    if (chosen.size() < MinStrongGateways)
        return serving;
    auto ranked = rankGateways(std::move(weak));
    ranked.resize(std::min(ranked.size(), WeakGatewaysPerDataCentre * dataCentres.size()));
    for (auto &weakGateway : ranked)
        chosen.push_back(std::move(weakGateway.gateway));
    return chosen;
}

} // namespace

std::vector<Wire::GatewayRecord> selectGateways(const std::vector<Wire::GatewayRecord> &serving,
                                                std::size_t preferred)
{
    auto candidates = selectCandidates(serving);
    if (candidates.size() <= preferred)
        return candidates;
    auto ranked = rankGateways(std::move(candidates));
    std::vector<Wire::GatewayRecord> chosen;
    for (std::size_t index = 0; index < preferred; ++index)
        chosen.push_back(std::move(ranked[index].gateway));
    return chosen;
}

std::vector<Wire::GatewayRecord> rankStandbys(const std::vector<Wire::GatewayRecord> &serving,
                                              const std::vector<Wire::GatewayRecord> &chosen)
{
    const auto strongFrom = StrongProcessorFraction * largestProcessorShare(serving);
    std::set<std::string_view> taken;
    for (const auto &gateway : chosen)
        taken.insert(gateway.gatewayId);
    std::vector<Wire::GatewayRecord> standbys;
    for (const auto &gateway : serving) {
        const bool isFit = gateway.processorShare >= strongFrom || gateway.suitsGathers;
        if (isFit && !taken.contains(gateway.gatewayId))
            standbys.push_back(gateway);
    }
    std::vector<Wire::GatewayRecord> result;
    for (auto &standby : rankGateways(std::move(standbys)))
        result.push_back(std::move(standby.gateway));
    return result;
}

} // namespace Registry
