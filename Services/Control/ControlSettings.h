#pragma once

#include "LibWire/RaftMessages.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Services {

/// Settings of `daisyroute control`.
struct ControlSettings
{
    std::string nodeId;
    std::string dataCentre;
    std::string environment;
    std::string dataDirectory;
    std::string httpAddress; ///< ip:port for operators and callers.
    std::string peerAddress; ///< ip:port for other processes of the system.
    std::vector<Wire::RaftMember> members; ///< All control nodes of a new cluster, this one included.
    bool join = false; ///< Starts as a learner that an existing cluster adds.
    bool repair =
        false; ///< Sets the files of a damaged data directory aside before the start; only with `join`.
    std::string sharedSecret; ///< Read from the key file.
    std::size_t memoryMegabytes = 0; ///< That this process may use; 0 if it has no limit.
};

} // namespace Services
