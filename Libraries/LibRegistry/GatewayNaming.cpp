#include "LibRegistry/GatewayNaming.h"

#include "LibRegistry/GatewayChoice.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <xxhash.h>

namespace Registry {

namespace {

/// Credits of gateways that must stay in all answers fall without end.
constexpr int LowestCredit = -1'000'000;

/// Reports come from other processes; a wrong share must not keep a gateway out for ever.
int shareOf(const Wire::GatewayRecord &gateway)
{
    return std::clamp<int>(gateway.callerShare, 1, Wire::FullCallerShare);
}

/// In each data centre the first of `ranked`, as many as `reduced` says.
std::vector<Wire::GatewayRecord> takeFirst(const std::vector<Wire::GatewayRecord> &ranked,
                                           std::map<std::string_view, std::size_t> reduced)
{
    std::vector<Wire::GatewayRecord> first;
    for (const auto &gateway : ranked) {
        auto &wanted = reduced[gateway.dataCentre];
        if (wanted == 0)
            continue;
        --wanted;
        first.push_back(gateway);
    }
    return first;
}

} // namespace

void GatewayNaming::setGateways(const std::vector<Wire::GatewayRecord> &serving, std::size_t preferred)
{
    named_ = selectGateways(serving, preferred);
    standbys_.clear();
    sharesDiffer_ = false;
    const bool anyReduced = std::any_of(named_.begin(), named_.end(), [](const auto &gateway) {
        return shareOf(gateway) < Wire::FullCallerShare;
    });
    if (rule_ == Rule::ByClass || !anyReduced)
        return credits_.clear();

    const auto ranked = rankStandbys(serving, named_);
    largestShare_ = 1;
    for (const auto &gateway : named_)
        largestShare_ = std::max(largestShare_, shareOf(gateway));
    for (const auto &gateway : ranked)
        largestShare_ = std::max(largestShare_, shareOf(gateway));
    std::map<std::string_view, std::size_t> reduced;
    for (const auto &gateway : named_) {
        if (shareOf(gateway) < largestShare_)
            ++reduced[gateway.dataCentre];
    }
    sharesDiffer_ = !reduced.empty();
    standbys_ = takeFirst(ranked, std::move(reduced));
    std::map<std::string, int, std::less<>> credits;
    for (const auto *gateways : {&named_, &standbys_}) {
        for (const auto &gateway : *gateways) {
            // New ones begin at different credits, so that gateways with equal shares are not absent
            // together.
            const auto known = credits_.find(gateway.gatewayId);
            const auto hash = XXH3_64bits(gateway.gatewayId.data(), gateway.gatewayId.size());
            credits.emplace(gateway.gatewayId, known == credits_.end()
                                                   ? static_cast<int>(hash % Wire::FullCallerShare)
                                                   : std::max(known->second, -largestShare_));
        }
    }
    credits_ = std::move(credits);
}

std::vector<const Wire::GatewayRecord *> GatewayNaming::nextAnswer()
{
    std::vector<const Wire::GatewayRecord *> answer;
    std::vector<const Wire::GatewayRecord *> leftOut;
    for (const auto &gateway : named_)
        (!sharesDiffer_ || isDue(gateway) ? answer : leftOut).push_back(&gateway);
    if (leftOut.empty())
        return answer;
    std::stable_sort(leftOut.begin(), leftOut.end(), [this](const auto *left, const auto *right) {
        return creditOf(*left) < creditOf(*right);
    });
    std::map<std::string_view, std::size_t> perDataCentre; // Not decided yet, or named.
    for (const auto &gateway : named_)
        ++perDataCentre[gateway.dataCentre];
    std::vector<const Wire::GatewayRecord *> dueStandbys;
    for (const auto &standby : standbys_) {
        if (isDue(standby))
            dueStandbys.push_back(&standby);
    }
    for (const auto *gateway : leftOut) {
        const auto standIn =
            std::find_if(dueStandbys.begin(), dueStandbys.end(), [gateway](const auto *standby) {
                return standby->dataCentre == gateway->dataCentre;
            });
        if (standIn != dueStandbys.end()) {
            answer.push_back(*standIn);
            dueStandbys.erase(standIn);
            continue;
        }
        auto &count = perDataCentre[gateway->dataCentre];
        if (count > MinPerDataCentre) {
            --count;
            continue;
        }
        answer.push_back(gateway);
        // It pays for the turn, so that another one of its data centre stays the next time.
        auto &credit = creditOf(*gateway);
        credit = std::max(credit - largestShare_, LowestCredit);
    }
    return answer;
}

/// Counts one answer for the gateway; tells whether it is to be named in it.
bool GatewayNaming::isDue(const Wire::GatewayRecord &gateway)
{
    auto &credit = creditOf(gateway);
    credit += shareOf(gateway);
    if (credit < largestShare_)
        return false;
    credit = std::min(credit - largestShare_, largestShare_);
    return true;
}

int &GatewayNaming::creditOf(const Wire::GatewayRecord &gateway)
{
    return credits_.find(gateway.gatewayId)->second;
}

} // namespace Registry
