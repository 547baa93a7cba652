#pragma once

#include "Sessions/Process.h"

#include <memory>
#include <string>
#include <vector>

namespace Soak {

/// Registries and gateways as real processes, each VM with a loopback address of its own.
class Cluster
{
public:
    static constexpr int Registries = 3;
    static constexpr int Gateways = 4;

    /// `network` is the beginning of an address, for example "127.65.3."; logs and disks go to `directory`.
    Cluster(std::string network, std::string directory, std::string listAddress);

    void startAll();
    void start(int vm);
    void signal(int vm, int number);
    /// Ends the process and takes its disk away.
    void killAndWipe(int vm);
    bool isRunning(int vm)
    {
        return processes_[static_cast<std::size_t>(vm)] != nullptr
               && processes_[static_cast<std::size_t>(vm)]->isRunning();
    }
    int count() const { return Registries + Gateways; }
    bool isRegistry(int vm) const { return vm < Registries; }

    std::string operatorAddress(int registry) const { return address(registry, 19006); }
    std::string callerAddress(int gateway) const { return address(Registries + gateway, 19004); }
    std::string lookupAddress(int gateway) const { return address(Registries + gateway, 19000); }
    std::string logPath(int vm) const;

private:
    std::string address(int vm, int port) const;
    std::string dataDirectory(int vm) const;
    void writeSettings(int vm) const;

    std::string network_;
    std::string directory_;
    std::string listAddress_;
    bool firstStart_ = true;
    std::vector<std::unique_ptr<Sessions::Process>> processes_;
};

} // namespace Soak
