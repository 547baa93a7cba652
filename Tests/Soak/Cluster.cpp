#include "Soak/Cluster.h"

#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sys/resource.h>

namespace Soak {

Cluster::Cluster(std::string network, std::string directory, std::string listAddress)
    : network_(std::move(network))
    , directory_(std::move(directory))
    , listAddress_(std::move(listAddress))
    , processes_(Registries + Gateways)
{
}

std::string Cluster::address(int vm, int port) const
{
    return fmt::format("{}{}:{}", network_, vm + 1, port);
}

std::string Cluster::dataDirectory(int vm) const
{
    return fmt::format("{}/disk-{}", directory_, vm);
}

std::string Cluster::logPath(int vm) const
{
    return fmt::format("{}/vm-{}.log", directory_, vm);
}

std::vector<std::pair<std::string, std::string>> Cluster::proxiedAddresses() const
{
    std::vector<std::pair<std::string, std::string>> addresses;
    for (int vm = 0; vm < count(); ++vm) {
        const auto port = isRegistry(vm) ? RegistryPeerPort : CallerPort;
        addresses.emplace_back(outerAddress(vm, port), address(vm, port));
    }
    return addresses;
}

void Cluster::writeSettings(int vm) const
{
    std::ofstream file(fmt::format("{}/vm-{}.toml", directory_, vm));
    file << fmt::format(R"(node = "vm-{0}"
data_centre = "dc-a"
ip = "{1}{2}"
listen_ip = "{1}{3}"
caller_address = "{4}"
readiness_address = "{5}"
lookup_address = "{6}"
operator_address = "{7}"
first_peer_port = {8}
cluster_key = "soak"
seeds = "{9},{10},{11}"
first_start = {12}
data_directory = "{13}"
server_list_address = "{14}"
server_list_calls_per_second = 50.0
processor_share = 1.0
lookup_max_age_s = 5
shutdown_grace_s = 3
extra_load_ratio = 0.2
extra_load_slack = 60
lost_vms_tolerated = 1
allowance_window_s = "{15}"
allowance_overage = "{16}"
allowance_slack = "{17}"
)",
                        vm, network_, vm + 1 + OuterOffset, vm + 1, address(vm, CallerPort),
                        address(vm, ReadinessPort), address(vm, LookupPort), outerAddress(vm, OperatorPort),
                        RegistryPeerPort, operatorAddress(0), operatorAddress(1), operatorAddress(2),
                        firstStart_, isRegistry(vm) && !withoutDisk_.contains(vm) ? dataDirectory(vm) : "",
                        listAddress_, AllowanceWindowS, AllowanceOverage, AllowanceSlack);
}

void Cluster::startAll()
{
    for (int vm = 0; vm < count(); ++vm)
        start(vm);
    firstStart_ = false;
}

void Cluster::start(int vm)
{
    writeSettings(vm);
    auto &process = processes_[static_cast<std::size_t>(vm)];
    process.reset();
    process = std::make_unique<Sessions::Process>(
        std::vector<std::string> {"daisyroute", isRegistry(vm) ? "registry" : "gateway",
                                  fmt::format("--config={}/vm-{}.toml", directory_, vm)},
        logPath(vm));
}

void Cluster::signal(int vm, int number)
{
    // A VM whose disk was taken away has no process until it starts again.
    if (const auto &process = processes_[static_cast<std::size_t>(vm)])
        process->signal(number);
}

void Cluster::setDiskFull(int vm, bool full)
{
    if (!isRunning(vm))
        return;
    rlimit limit {RLIM_INFINITY, RLIM_INFINITY};
    if (full)
        limit.rlim_cur = 0;
    // Fails only for a process that has just ended, which has no disk to fill.
    (void)prlimit(processes_[static_cast<std::size_t>(vm)]->id(), RLIMIT_FSIZE, &limit, nullptr);
}

void Cluster::killAndTearLog(int vm, std::size_t tornBytes)
{
    processes_[static_cast<std::size_t>(vm)].reset();
    const auto log = dataDirectory(vm) + "/log";
    if (std::filesystem::exists(log))
        std::filesystem::resize_file(log, std::filesystem::file_size(log) + tornBytes);
}

void Cluster::killAndWipe(int vm)
{
    processes_[static_cast<std::size_t>(vm)].reset();
    std::filesystem::remove_all(dataDirectory(vm));
}

} // namespace Soak
