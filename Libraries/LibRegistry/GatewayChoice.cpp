#include "LibRegistry/GatewayChoice.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <xxhash.h>

namespace Registry {

namespace {

/// A gateway with less of a processor than this fraction of the largest one's answers later, and requests
/// that spread over more gateways find fewer open connections and less knowledge of the servers.
constexpr double StrongShare = 0.6;
/// With fewer strong gateways than this, the loss of one would be felt more than the slowness of the others.
constexpr std::ptrdiff_t MinStrongGateways = 3;

} // namespace

std::vector<Wire::GatewayRecord> chooseGateways(std::vector<Wire::GatewayRecord> serving,
                                                std::size_t preferred)
{
    double largest = 0.0;
    for (const auto &gateway : serving)
        largest = std::max(largest, gateway.processorShare);
    const auto isStrong = [largest](const Wire::GatewayRecord &gateway) {
        return gateway.processorShare >= StrongShare * largest;
    };
    if (std::count_if(serving.begin(), serving.end(), isStrong) >= MinStrongGateways)
        std::erase_if(serving, [&](const auto &gateway) { return !isStrong(gateway); });
    if (serving.size() <= preferred)
        return serving;
    struct Ranked
    {
        double processorShare = 0.0;
        std::size_t round = 0; ///< Position within its data centre, so that the data centres take turns.
        std::uint64_t hash = 0;
        Wire::GatewayRecord gateway;
    };
    std::vector<Ranked> ranked;
    for (auto &gateway : serving) {
        const auto hash = XXH3_64bits(gateway.gatewayId.data(), gateway.gatewayId.size());
        ranked.push_back({gateway.processorShare, 0, hash, std::move(gateway)});
    }
    const auto byHash = [](const Ranked &left, const Ranked &right) {
        return std::tuple(-left.processorShare, left.hash) < std::tuple(-right.processorShare, right.hash);
    };
    std::sort(ranked.begin(), ranked.end(), byHash);
    std::map<std::string, std::size_t> perDataCentre;
    for (auto &item : ranked)
        item.round = perDataCentre[item.gateway.dataCentre]++;
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return std::tuple(-left.processorShare, left.round, left.hash)
               < std::tuple(-right.processorShare, right.round, right.hash);
    });
    std::vector<Wire::GatewayRecord> chosen;
    for (std::size_t index = 0; index < preferred; ++index)
        chosen.push_back(std::move(ranked[index].gateway));
    return chosen;
}

} // namespace Registry
