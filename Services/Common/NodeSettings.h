#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibWire/RegistryMessages.h"

#include <string>
#include <string_view>
#include <vector>

namespace Services {

/// Largest configuration text that an operator may send.
constexpr std::size_t MaxConfigurationBytes = std::size_t {4} * 1024 * 1024;

/// Settings of a gateway or registry process, from its settings file. Addresses that its role does not use
/// are empty.
struct NodeSettings
{
    std::string nodeId;
    std::string dataCentre;
    std::string ip; ///< Under which other processes reach this VM.
    std::string
        listenIp; ///< Where the listener for other processes binds; differs where addresses are translated.
    std::string callerAddress; ///< Where callers send requests.
    std::string readinessAddress; ///< Where the platform asks whether callers may come.
    std::string lookupAddress; ///< Where callers ask for gateways.
    std::string operatorAddress; ///< Where operators read and replace the configuration.
    std::uint32_t registryPort = 0; ///< Port for other processes on every VM that runs a registry.
    std::uint32_t gatewayPort = 0; ///< The same for gateways.
    std::string clusterKey; ///< Equal on all processes of one deployment.
    std::vector<std::string> seeds; ///< Operator addresses of some VMs that run a registry.
    bool firstStart = false; ///< The whole deployment starts for the first time, with empty disks.
    std::string dataDirectory; ///< Empty on a VM without a disk.

    std::string serverListAddress; ///< Where the platform lists backend servers.
    double serverListCallsPerSecond = 1.0; ///< Of all processes together.

    double processorShare = 1.0; ///< Of a core, for all processes of this VM.
    double linkMegabits = 1000.0; ///< Per second, of this VM's link.
    Base::Duration lookupMaxAge {}; ///< Longest time that counts for a look-up's answer.
    Base::Duration shutdownGrace {}; ///< From the stop signal to the kill.
    double extraLoadRatio = 0.0; ///< Extra arrivals per request of a service, of all gateways together.
    double extraLoadSlack = 0.0; ///< Extra arrivals beyond the ratio in one window.
    Base::Duration serverDrain {}; ///< How long a backend server that leaves serves on, at least.
    /// How long a VM that is back, or new, may take to catch up with the others.
    Base::Duration catchUpTime {};
    std::uint32_t lostVmsTolerated = 1; ///< VMs with a disk that may be lost at once.

    /// A caller's key that a newer configuration has removed may be served for this long after that was
    /// accepted, on any gateway; zero if there is no such bound.
    Base::Duration keyRemovalBound {};
    Base::Duration allowanceWindow {}; ///< A tenant's allowance counts in any window of this length.
    double allowanceOverage = 0.0; ///< Fraction by which the allowance of a window may be exceeded.
    double allowanceSlack = 0.0; ///< Requests by which it may be exceeded besides.
    double coldOverage = 1.0; ///< Factor on the requests that a cold server may get in any second.
    double coldSlack = 0.0; ///< Requests that it may get besides.
    double memoryMegabytes = 0.0; ///< Of each process of this VM; 0 if they have no limit.
    std::uint32_t maxDescriptors = 0; ///< Of this process; 0 if it has no limit.
    /// Whether gateways find out how many attempts at once each server takes well.
    bool learnServerLimits = false;
    /// Whether a gateway that runs hot is named to fewer callers.
    bool shareCallersByLoad = false;

    /// Whether this VM is the first one that the seeds name.
    bool isFirstSeed() const { return !seeds.empty() && seeds.front() == operatorAddress; }

    /// Address of the registry on the VM of an operator address; empty when that is no address.
    std::string registryPeerAddress(std::string_view seed) const;
    std::string registryPeerAddress() const;
    std::string registryListenAddress() const;
    std::string gatewayListenAddress() const;

    /// Takes over what a registry may change while it runs; addresses and directories need a restart.
    void takeOverForRegistry(const NodeSettings &newer);

    /// What a gateway with these settings tells of itself.
    Wire::GatewayRecord gatewayRecord(std::uint64_t incarnation, Wire::GatewayState state) const;
};

/// Reads and checks a settings file; SettingInvalid lists every mistake with its line.
Base::Result<NodeSettings> readNodeSettings(const std::string &path);
Base::Result<NodeSettings> parseNodeSettings(std::string_view text);

} // namespace Services
