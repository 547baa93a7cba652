#pragma once

#include "LibConsensus/RaftNode.h"

#include <cstddef>
#include <cstdint>

namespace Registry {

/// What a process knows of the deployment's registries when the cluster is founded.
struct FormationFacts
{
    std::size_t lostVmsTolerated = 1; ///< VMs with a disk that may be lost at once.
    std::size_t seeds = 0; ///< Registries named in the settings: three, or all if there are fewer.
};

/// Whether the settings name each registry of the deployment.
bool namesAllRegistries(std::size_t seeds);

/// Returns the number of voters that the cluster needs before it accepts its first configuration: a majority
/// must survive the tolerated losses.
std::size_t votersToForm(const FormationFacts &facts);

/// Whether the cluster is too small to accept a configuration, or needs the confirmation of voters that do
/// not keep it. A cluster that holds one was large enough once, and goes on while a lost member is replaced.
bool isForming(const Consensus::RaftStatus &status, std::uint64_t heldVersion, std::size_t votersToForm);

} // namespace Registry
