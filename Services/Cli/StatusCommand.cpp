#include "Services/Cli/StatusCommand.h"

#include "Services/Cli/CommandOutput.h"
#include "Services/Cli/ServiceCommands.h"
#include "Services/Cli/StatusReport.h"

#include <fmt/format.h>

namespace Services {

namespace {

StatusReport fetchReport(const OperatorClient &client)
{
    StatusReport report;
    for (const auto &address : client.addresses()) {
        const auto answer = client.ask(address, "GET", "/v1/status", {});
        if (!answer)
            report.addSilent(address, answer.error().detail);
        else if (answer->response.status != 200)
            report.addSilent(address, fmt::format("status {}", answer->response.status));
        else
            report.add(address, parseBody(answer->response));
    }
    return report;
}

} // namespace

int runStatus(const Settings::CommandLine &line)
{
    const auto client = makeOperatorClient(line);
    if (!client)
        return printError(client.error());
    auto report = fetchReport(*client);
    if (line.isOn("json"))
        fmt::print("{}\n", report.toJson().dump());
    else
        fmt::print("{}", report.toText());
    return report.isHealthy() ? ExitSuccess : ExitFailure;
}

} // namespace Services
