#include "LibQuery/ReplicaChooser.h"

#include <algorithm>

namespace Query {

namespace {

/// Weight of busy slots in the cost: a free slot may be taken by another entry process in the meantime.
constexpr double BusyWeight = 0.25;
/// Costs within this factor of the lowest are regarded as equal.
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
        const auto standing = servers_.standing(now, key);
        if (standing == Standing::Unusable)
            continue;
        if (standing == Standing::ProbeDue && request.allowProbe)
            return key;
        auto &group = standing == Standing::Ready ? ready : lastResort;
        group.push_back({key, cost(key, request.typical)});
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

double ReplicaChooser::cost(ServerKey key, Base::Duration typical) const
{
    const auto predicted = static_cast<double>(servers_.predictedAnswer(key, typical).count());
    return predicted * (1.0 + BusyWeight * std::min(1.0, servers_.occupancy(key)));
}

} // namespace Query
