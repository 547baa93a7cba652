#pragma once

#include "HostileCallers/FaultyServers.h"
#include "LibEdge/CallerServer.h"
#include "LibEdge/Loop.h"
#include "Sessions/Process.h"

#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace HostileCallers {

/// Settings that the bounds of the tests come from.
constexpr std::size_t MemoryMegabytes = 40;
constexpr std::size_t MaxDescriptors = 256;

/// One VM with a gateway and a registry as real processes, an entry process, and the platform's list with one
/// backend server, on a loopback network that no other test process uses. All end with the object.
class Site
{
public:
    Site();
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Adds backend servers that send without end: behind the route /f/, and as one of the two shards of the
    /// gather /g/. Call it before startGateway().
    FaultyServers &addFaultyServers();

    /// Starts the gateway and the registry and waits until a request is served.
    bool startGateway();
    /// Starts an entry process, which needs no cluster for its own status.
    bool startEntry();

    Sessions::Process &gateway() { return *gateway_; }
    Sessions::Process &registry() { return *registry_; }
    Sessions::Process &entry() { return *entry_; }

    std::string address(int port) const;
    std::string directory() const { return directory_; }

    static constexpr int LookupPort = 19100;
    static constexpr int CallerPort = 19104;
    static constexpr int OperatorPort = 19106;
    static constexpr int ReadinessPort = 19108;
    static constexpr int MetricsPort = 19110;
    static constexpr int RegistryMetricsPort = 19112;
    static constexpr int EntryPort = 19114;

private:
    void listen();
    void addInstance(const std::string &service, const std::string &address);
    std::unique_ptr<Sessions::Process> start(const std::string &role, int metricsPort) const;
    bool submitConfiguration() const;

    std::string network_;
    std::string directory_;
    Edge::Loop loop_;
    std::unique_ptr<Edge::CallerServer> list_;
    std::unique_ptr<Edge::CallerServer> server_;
    std::unique_ptr<FaultyServers> faultyServers_;
    std::vector<std::string> instances_; ///< Entries of the list.
    std::thread thread_; ///< Runs the loop.
    std::unique_ptr<Sessions::Process> registry_;
    std::unique_ptr<Sessions::Process> gateway_;
    std::unique_ptr<Sessions::Process> entry_;
};

/// Largest resident memory of the process so far.
std::size_t peakMemoryBytes(pid_t process);
std::size_t openDescriptors(pid_t process);

/// Repeats `condition` until it holds or only a broken system would not hold it yet.
bool eventually(const std::function<bool()> &condition);

} // namespace HostileCallers
