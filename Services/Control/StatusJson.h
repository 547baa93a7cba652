#pragma once

#include "LibConsensus/RaftNode.h"
#include "LibControl/ControlCore.h"

#include <nlohmann/json.hpp>
#include <string>

namespace Services {

/// Builds the body of `GET /v1/status` of a control process. Lease ages and the silence of members other than
/// the leader are known at the leader only, which `"leads": true` states.
nlohmann::json controlStatusJson(const std::string &nodeId, const Control::ControlCore &core,
                                 const Consensus::RaftStatus &raft, Base::Instant now);

/// Builds the body of `GET /v1/entries`.
nlohmann::json entriesJson(const Control::ControlCore &core);

} // namespace Services
