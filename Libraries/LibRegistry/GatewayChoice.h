#pragma once

#include "LibWire/RegistryMessages.h"

#include <cstddef>
#include <vector>

namespace Registry {

/// Load pattern: gathers over very many shards on VMs with unequal shares of a processor. Returns the
/// gateways that callers are sent to, at most `preferred`: only the strong ones if there are some, because a
/// gather takes milliseconds of work; among equals an order that is the same on all nodes and spreads over
/// the data centres.
std::vector<Wire::GatewayRecord> chooseGateways(std::vector<Wire::GatewayRecord> serving,
                                                std::size_t preferred);

} // namespace Registry
