#include "Services/Cli/ServiceCommands.h"

#include "LibBase/Log.h"
#include "LibSettings/KeyFile.h"
#include "LibSettings/Lists.h"
#include "Services/Control/ControlService.h"
#include "Services/Entry/EntryService.h"

#include <algorithm>
#include <fmt/format.h>

namespace Services {

namespace {

constexpr Base::Log Log {"daisyroute"};

void setLogLevel(const std::string &name)
{
    if (name == "debug")
        Base::Log::setLevel(Base::LogLevel::Debug);
    else if (name == "warning")
        Base::Log::setLevel(Base::LogLevel::Warning);
    else if (name == "error")
        Base::Log::setLevel(Base::LogLevel::Error);
    else
        Base::Log::setLevel(Base::LogLevel::Info);
}

int usageError(const std::string &message)
{
    fmt::print(stderr, "{}\n", message);
    return ExitUsage;
}

int exitCodeOf(const Base::Result<void> &result)
{
    if (result)
        return ExitSuccess;
    Log.error("Stopped with an error.",
              {{"error", Base::errorName(result.error().kind)}, {"detail", result.error().detail}});
    return result.error().kind == Base::ErrorKind::SettingInvalid ? ExitUsage : ExitFailure;
}

ControlSettings controlSettings(const Settings::CommandLine &line, const std::string &key)
{
    ControlSettings settings;
    settings.nodeId = line.text("node-id");
    settings.dataCentre = line.text("data-centre");
    settings.environment = line.text("environment");
    settings.dataDirectory = line.text("data-directory");
    settings.httpAddress = line.text("http-address");
    settings.peerAddress = line.text("peer-address");
    for (const auto &[id, address] : Settings::splitMembers(line.text("members")))
        settings.members.push_back({id, 0, address, true});
    settings.join = line.isOn("join");
    settings.repair = line.isOn("repair");
    settings.sharedSecret = key;
    settings.memoryMegabytes = line.number("memory-megabytes");
    return settings;
}

/// Returns what is wrong with the member list, or an empty text.
std::string memberMistake(const ControlSettings &settings)
{
    // A repaired directory has a new incarnation, which the member list of a new cluster must not contain.
    if (settings.repair && !settings.join)
        return "--repair: not accepted without --join; accepted: --repair --join";
    if (settings.join == !settings.members.empty())
        return settings.join ? "--members: not accepted together with --join; accepted: one of them"
                             : "--members: a value is missing; accepted: members id=ip:port, or --join";
    const bool listed =
        std::any_of(settings.members.begin(), settings.members.end(), [&](const Wire::RaftMember &member) {
            return member.nodeId == settings.nodeId && member.peerAddress == settings.peerAddress;
        });
    if (settings.join || listed)
        return {};
    return fmt::format("--members: {}={} is not listed; accepted: a list with this node and its peer address",
                       settings.nodeId, settings.peerAddress);
}

} // namespace

int runControlCommand(const Settings::CommandLine &line)
{
    const auto key = Settings::readKeyFile(line.text("key-file"));
    if (!key)
        return usageError(key.error().detail);
    const auto settings = controlSettings(line, *key);
    if (const auto mistake = memberMistake(settings); !mistake.empty())
        return usageError(mistake);
    setLogLevel(line.text("log-level"));
    return exitCodeOf(runControl(settings));
}

int runEntryCommand(const Settings::CommandLine &line)
{
    const auto key = Settings::readKeyFile(line.text("key-file"));
    if (!key)
        return usageError(key.error().detail);
    EntrySettings settings;
    settings.entryId = line.text("entry-id");
    settings.dataCentre = line.text("data-centre");
    settings.environment = line.text("environment");
    settings.httpAddress = line.text("http-address");
    settings.peerAddress = line.text("peer-address");
    settings.controlAddresses = line.list("control-addresses");
    settings.vmListFile = line.text("vm-list-file");
    settings.sharedSecret = *key;
    settings.callerThreads = static_cast<int>(line.number("caller-threads"));
    settings.memoryMegabytes = line.number("memory-megabytes");
    setLogLevel(line.text("log-level"));
    return exitCodeOf(runEntry(settings));
}

} // namespace Services
