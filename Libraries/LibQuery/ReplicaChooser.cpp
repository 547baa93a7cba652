#include "LibQuery/ReplicaChooser.h"

#include <algorithm>

namespace Query {

namespace {

/// Relative cost increase at full occupancy, scaled down with lower occupancy: another entry process may
/// take a free slot before the request arrives.
constexpr double BusyWeight = 0.25;
/// Costs within this factor of the lowest count as equal.
constexpr double TieFactor = 1.1;
/// Smaller differences of reported load are noise.
constexpr double LoadTolerance = 0.2;

} // namespace

std::optional<ServerKey> ReplicaChooser::choose(Base::Instant now, const ReplicaRequest &request)
{
    std::vector<Candidate> ready;
    std::vector<Candidate> lastResort;
    for (const auto key : request.shard->replicas) {
        if (!servers_.row(key).offers(request.version))
            continue;
        if (std::find(request.excluded.begin(), request.excluded.end(), key) != request.excluded.end())
            continue;
        const auto eligibility = servers_.eligibility(now, key);
        if (eligibility == Eligibility::Unusable)
            continue;
        if (eligibility == Eligibility::ProbeDue && request.allowProbe)
            return key;
        auto &group = eligibility == Eligibility::Ready ? ready : lastResort;
        group.push_back({key, cost(key, request.typicalLatency)});
    }
    if (!ready.empty())
        return cheapest(ready);
    if (!lastResort.empty() && request.allowLastResort)
        return cheapest(lastResort);
    return std::nullopt;
}

ServerKey ReplicaChooser::cheapest(std::vector<Candidate> &candidates)
{
    const auto lowest =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const Candidate &left, const Candidate &right) { return left.cost < right.cost; })
            ->cost;
    std::erase_if(candidates, [&](const Candidate &entry) { return entry.cost > lowest * TieFactor; });
    const auto load = [&](const Candidate &entry) {
        return servers_.row(entry.key).observation->reportedLoad;
    };
    double lowestLoad = load(candidates.front());
    for (const auto &entry : candidates)
        lowestLoad = std::min(lowestLoad, load(entry));
    std::erase_if(candidates,
                  [&](const Candidate &entry) { return load(entry) > lowestLoad + LoadTolerance; });
    return candidates.size() == 1 ? candidates.front().key : candidates[random_.below(candidates.size())].key;
}

double ReplicaChooser::cost(ServerKey key, Base::Duration typicalLatency) const
{
    const auto predicted = static_cast<double>(servers_.predictedResponseTime(key, typicalLatency).count());
    return predicted * (1.0 + BusyWeight * std::min(1.0, servers_.occupancy(key)));
}

} // namespace Query
