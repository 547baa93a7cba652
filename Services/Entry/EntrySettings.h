#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Services {

/// Settings of `daisyroute entry`.
struct EntrySettings
{
    std::string entryId;
    std::string dataCentre;
    std::string environment;
    std::string httpAddress; ///< ip:port that callers connect to.
    std::string peerAddress; ///< ip:port for other processes of the system.
    std::vector<std::string> controlAddresses; ///< Peer addresses of the control processes.
    std::string vmListFile; ///< Platform's list of live and leaving VMs; empty means none.
    std::string sharedSecret; ///< Read from the key file.
    int callerThreads = 128; ///< Caller connections served at once.
    std::size_t memoryMegabytes = 0; ///< That this process may use; 0 if it has no limit.
};

} // namespace Services
