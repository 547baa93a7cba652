#include "LibRegistry/Formation.h"

#include "LibControl/VoterEligibility.h"

#include <algorithm>

namespace Registry {

namespace {

/// Settings name this many registries, or all of them if there are fewer.
constexpr std::size_t SeedsNamed = 3;

} // namespace

bool namesAllRegistries(std::size_t seeds)
{
    return seeds < SeedsNamed;
}

std::size_t votersToForm(const FormationFacts &facts)
{
    const auto target = 2 * facts.lostVmsTolerated + 1;
    return namesAllRegistries(facts.seeds) ? std::min(target, std::max<std::size_t>(1, facts.seeds)) : target;
}

bool isForming(const Consensus::RaftStatus &status, std::uint64_t heldVersion, std::size_t votersToForm)
{
    const auto voters = Control::eligibleVoterCount(status);
    return heldVersion == 0 && (voters < votersToForm || voters < Consensus::voterCount(status));
}

} // namespace Registry
