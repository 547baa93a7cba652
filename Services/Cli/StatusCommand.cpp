#include "Services/Cli/StatusCommand.h"

#include "Services/Cli/CommandOutput.h"
#include "Services/Cli/ServiceCommands.h"

#include <fmt/format.h>

namespace Services {

namespace {

/// What one control process says about the system, or why it says nothing.
struct ProcessStatus
{
    std::string address;
    nlohmann::json body = nlohmann::json::object();
    std::vector<std::string> problems;
};

ProcessStatus fetchStatus(const ControlClient &client, const std::string &address)
{
    ProcessStatus status;
    status.address = address;
    const auto answer = client.ask(address, "GET", "/v1/status", {});
    if (!answer) {
        status.problems.push_back(fmt::format("It does not answer: {}", answer.error().detail));
        return status;
    }
    status.body = parseBody(answer->response);
    if (answer->response.status != 200)
        status.problems.push_back(fmt::format("It answers with status {}.", answer->response.status));
    for (const auto &problem : status.body.value("problems", nlohmann::json::array()))
        status.problems.push_back(problem.is_string() ? problem.get<std::string>() : problem.dump());
    if (status.problems.empty() && !status.body.value("healthy", false))
        status.problems.emplace_back("It reports that it is not healthy.");
    return status;
}

void printForPeople(const ProcessStatus &status)
{
    fmt::print("{}:\n", status.address);
    for (const auto &[key, value] : status.body.items()) {
        if (!value.is_array()) {
            fmt::print("  {}: {}\n", key, value.is_string() ? value.get<std::string>() : value.dump());
            continue;
        }
        for (const auto &item : value)
            fmt::print("  {}: {}\n", key, item.is_string() ? item.get<std::string>() : item.dump());
    }
    for (const auto &problem : status.problems)
        fmt::print("  PROBLEM: {}\n", problem);
}

nlohmann::json toJson(const ProcessStatus &status)
{
    return {{"address", status.address}, {"status", status.body}, {"problems", status.problems}};
}

} // namespace

int runStatus(const Settings::CommandLine &line)
{
    const auto client = makeControlClient(line);
    if (!client)
        return printError(client.error());
    bool healthy = true;
    auto processes = nlohmann::json::array();
    for (const auto &address : client->addresses()) {
        const auto status = fetchStatus(*client, address);
        healthy = healthy && status.problems.empty();
        processes.push_back(toJson(status));
        if (!line.isOn("json"))
            printForPeople(status);
    }
    if (line.isOn("json"))
        fmt::print("{}\n", nlohmann::json {{"healthy", healthy}, {"processes", processes}}.dump());
    else
        fmt::print("{}\n", healthy ? "healthy" : "unhealthy");
    return healthy ? ExitSuccess : ExitFailure;
}

} // namespace Services
