#include "Services/Cli/CallerCommands.h"
#include "Services/Cli/CommandTable.h"
#include "Services/Cli/DocumentCommands.h"
#include "Services/Cli/ExplainCommand.h"
#include "Services/Cli/RoutingCommands.h"
#include "Services/Cli/ServiceCommands.h"
#include "Services/Cli/StatusCommand.h"
#include "platform/PlatformProtocol.h"

#include <algorithm>
#include <exception>
#include <fmt/format.h>
#include <map>
#include <string>
#include <string_view>

namespace {

using Runner = int (*)(const Settings::CommandLine &);

int runGateway(const Settings::CommandLine &line)
{
    return Services::runGatewayCommand(line, Platform::PlatformProtocol());
}

int runRegistry(const Settings::CommandLine &line)
{
    return Services::runRegistryCommand(line, Platform::PlatformProtocol());
}

const std::map<std::string_view, Runner> &runners()
{
    static const std::map<std::string_view, Runner> Runners {{"control", Services::runControlCommand},
                                                             {"entry", Services::runEntryCommand},
                                                             {"gateway", runGateway},
                                                             {"registry", runRegistry},
                                                             {"explain", Services::runExplain},
                                                             {"check-settings", Services::runCheckSettings},
                                                             {"validate", Services::runValidate},
                                                             {"diff", Services::runDiff},
                                                             {"submit", Services::runSubmit},
                                                             {"promote", Services::runPromote},
                                                             {"status", Services::runStatus},
                                                             {"entries", Services::runEntries},
                                                             {"query", Services::runQuery}};
    return Runners;
}

int runCommand(const Settings::Command &command, const std::vector<std::string> &arguments)
{
    Settings::CommandLine line;
    const auto mistakes =
        line.read(Services::commandTable(), command, arguments, Settings::processEnvironment());
    if (line.wantsHelp()) {
        fmt::print("{}", Settings::usageText(command));
        return Services::ExitSuccess;
    }
    for (const auto &mistake : mistakes)
        fmt::print(stderr, "{}\n", mistake);
    if (!mistakes.empty())
        return Services::ExitUsage;
    return runners().at(command.name)(line);
}

int runArguments(const std::vector<std::string> &arguments)
{
    const auto &commands = Services::commandTable();
    const auto &first = arguments.front();
    if (first == "--version") {
        fmt::print("daisyroute {}\n", DAISYROUTE_VERSION);
        return Services::ExitSuccess;
    }
    if (first == "--help") {
        fmt::print("{}", Settings::usageText(commands));
        return Services::ExitSuccess;
    }
    const auto command = std::find_if(commands.begin(), commands.end(),
                                      [&](const Settings::Command &item) { return item.name == first; });
    if (command == commands.end()) {
        fmt::print(stderr, "\"{}\" is no command.\n{}", first, Settings::usageText(commands));
        return Services::ExitUsage;
    }
    return runCommand(*command, {arguments.begin() + 1, arguments.end()});
}

} // namespace

int main(int count, char **values)
{
    try {
        if (count > 1)
            return runArguments({values + 1, values + count});
        fmt::print(stderr, "{}", Settings::usageText(Services::commandTable()));
        return Services::ExitUsage;
    } catch (const std::exception &error) {
        fmt::print(stderr, "internal: {}\n", error.what());
        return Services::ExitFailure;
    }
}
