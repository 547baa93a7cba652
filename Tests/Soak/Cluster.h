#pragma once

#include "Sessions/Process.h"

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Soak {

/// Registries and gateways as real processes, each VM with a loopback address of its own.
class Cluster
{
public:
    static constexpr int Registries = 3;
    static constexpr int Gateways = 4;
    /// By how much the allowance of a tenant may be exceeded, and in which windows that counts.
    static constexpr int AllowanceWindowS = 2;
    static constexpr double AllowanceOverage = 0.1;
    static constexpr int AllowanceSlack = 5;

    /// `network` is the beginning of an address, for example "127.65.3."; logs and disks go to `directory`.
    Cluster(std::string network, std::string directory, std::string listAddress);

    void startAll();
    void start(int vm);
    /// Takes the disk of a registry away before it starts for the first time.
    void takeDisk(int vm) { withoutDisk_.insert(vm); }
    /// Whether processes that start are told that the whole deployment starts for the first time.
    void setFirstStart(bool firstStart) { firstStart_ = firstStart; }
    void signal(int vm, int number);
    /// Fills or frees the VM's disk: while it is full, no file of its process grows.
    void setDiskFull(int vm, bool full);
    /// Ends the process in the middle of a write: its log gets a tail that was never synced and reads as
    /// zeros.
    void killAndTearLog(int vm, std::size_t tornBytes);
    /// Ends the process and takes its disk away.
    void killAndWipe(int vm);
    bool isRunning(int vm)
    {
        return processes_[static_cast<std::size_t>(vm)] != nullptr
               && processes_[static_cast<std::size_t>(vm)]->isRunning();
    }
    int count() const { return Registries + Gateways; }
    bool isRegistry(int vm) const { return vm < Registries; }

    std::string operatorAddress(int registry) const { return outerAddress(registry, OperatorPort); }
    std::string callerAddress(int gateway) const { return outerAddress(Registries + gateway, CallerPort); }
    std::string logPath(int vm) const;

    /// Addresses of callers' and peers' traffic, which a proxy listens on, with those behind it.
    std::vector<std::pair<std::string, std::string>> proxiedAddresses() const;

private:
    static constexpr int LookupPort = 19000;
    static constexpr int CallerPort = 19004;
    static constexpr int OperatorPort = 19006;
    static constexpr int ReadinessPort = 19008;
    static constexpr int RegistryPeerPort = 19380;
    /// Difference between the addresses that others use and those that processes listen on.
    static constexpr int OuterOffset = 50;

    std::string address(int vm, int port) const;
    std::string outerAddress(int vm, int port) const { return address(vm + OuterOffset, port); }
    std::string dataDirectory(int vm) const;
    void writeSettings(int vm) const;

    std::string network_;
    std::string directory_;
    std::string listAddress_;
    bool firstStart_ = true;
    std::set<int> withoutDisk_;
    std::vector<std::unique_ptr<Sessions::Process>> processes_;
};

} // namespace Soak
