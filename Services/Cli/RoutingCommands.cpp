#include "Services/Cli/RoutingCommands.h"

#include "Services/Cli/ServiceCommands.h"
#include "Services/Gateway/GatewayProcess.h"
#include "Services/Registry/RegistryProcess.h"

#include <csignal>
#include <fmt/format.h>

namespace Services {

namespace {

int reportError(const Base::Error &error)
{
    fmt::print(stderr, "{}: {}\n", Base::errorName(error.kind), error.detail);
    return error.kind == Base::ErrorKind::SettingInvalid ? ExitUsage : ExitFailure;
}

template<typename Process>
int runProcess(const Settings::CommandLine &line, const Adapter::PlatformAdapter &adapter)
{
    Edge::Loop::holdSignals({SIGTERM, SIGINT, SIGHUP});
    // A peer that closes its connection must show as an error of the write.
    std::signal(SIGPIPE, SIG_IGN);
    const auto process = Process::create(line.text("config"), line.text("metrics-port"), adapter);
    if (!process)
        return reportError(process.error());
    (*process)->run();
    return ExitSuccess;
}

} // namespace

int runGatewayCommand(const Settings::CommandLine &line, const Adapter::PlatformAdapter &adapter)
{
    return runProcess<GatewayProcess>(line, adapter);
}

int runRegistryCommand(const Settings::CommandLine &line, const Adapter::PlatformAdapter &adapter)
{
    return runProcess<RegistryProcess>(line, adapter);
}

int runCheckSettings(const Settings::CommandLine &line)
{
    const auto path = line.argument("FILE").front();
    const auto settings = readNodeSettings(path);
    if (!settings)
        return reportError({settings.error().kind, path + ":\n" + settings.error().detail});
    fmt::print("{}: valid, node {} in {}\n", path, settings->nodeId, settings->dataCentre);
    return ExitSuccess;
}

} // namespace Services
