#include "LibRegistry/Formation.h"

#include <algorithm>

namespace Registry {

namespace {

/// Settings name this many registries, or all of them if there are fewer.
constexpr std::size_t SeedsNamed = 3;

} // namespace

std::size_t votersToForm(const FormationFacts &facts)
{
    // Registries without a disk never vote, so a founder without one stays alone.
    if (!facts.hasDisk)
        return 1;
    const auto target = 2 * facts.lostVmsTolerated + 1;
    return facts.seeds < SeedsNamed ? std::min(target, std::max<std::size_t>(1, facts.seeds)) : target;
}

bool isForming(const Consensus::RaftStatus &status, std::uint64_t heldVersion, std::size_t votersToForm)
{
    return heldVersion == 0 && Consensus::voterCount(status) < votersToForm;
}

} // namespace Registry
