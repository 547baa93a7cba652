#pragma once

#include "LibWire/RegistryMessages.h"

#include <cstddef>
#include <vector>

namespace Registry {

/// Returns the gateways advertised to callers, at most `preferred`: the strong ones if there are enough,
/// because a gather takes milliseconds of processor time, plus two weak ones per data centre that suit
/// gathers. The weak ones keep warm connections and information about the servers in case the strong ones are
/// lost. Equal gateways have the same order on all nodes and alternate between data centres. Load patterns:
/// gathers over very many shards on VMs with unequal processor shares; a simultaneous power loss of all VMs
/// with a disk, which are the strong ones.
std::vector<Wire::GatewayRecord> selectGateways(const std::vector<Wire::GatewayRecord> &serving,
                                                std::size_t preferred);

/// Returns the gateways outside `chosen` that can stand in for one of these: strong ones, and weak ones that
/// suit gathers. The order is as for selectGateways().
std::vector<Wire::GatewayRecord> rankStandbys(const std::vector<Wire::GatewayRecord> &serving,
                                              const std::vector<Wire::GatewayRecord> &chosen);

} // namespace Registry
