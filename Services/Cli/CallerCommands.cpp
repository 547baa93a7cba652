#include "Services/Cli/CallerCommands.h"

#include "Services/Cli/CommandOutput.h"
#include "Services/Cli/JsonFields.h"
#include "Services/Cli/ServiceCommands.h"

#include <fmt/format.h>

#include <chrono>

namespace Services {

namespace {

OperatorClient callerClient(const Settings::CommandLine &line)
{
    // Callers need no key; the same client serves because it only adds the header when there is one.
    return {line.list("entry-addresses"), {}, Base::milliseconds(line.number("timeout-ms"))};
}

Base::Result<nlohmann::json> fetchEntries(const OperatorClient &client)
{
    Base::Error lastError;
    for (const auto &address : client.addresses()) {
        const auto answer = client.ask(address, "GET", "/v1/entries", {});
        if (answer && answer->response.status == 200)
            return parseBody(answer->response);
        lastError = answer ? Base::Error {Base::ErrorKind::ControlUnavailable, answer->response.body}
                           : answer.error();
    }
    return tl::unexpected(lastError);
}

std::vector<std::string> addressesOf(const nlohmann::json &entries)
{
    std::vector<std::string> addresses;
    for (const auto &entry : entries.value("entries", nlohmann::json::array()))
        addresses.push_back(entry.value("address", ""));
    return addresses;
}

std::int64_t nowMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

nlohmann::json queryBody(const Settings::CommandLine &line)
{
    const auto requestId = line.text("request-id").empty() ? randomId() : line.text("request-id");
    nlohmann::json body {{"request_id", requestId},
                         {"index", line.text("index")},
                         {"class", line.text("class")},
                         {"tenant", line.text("tenant")},
                         {"body", line.argument("BODY").front()}};
    if (!line.text("deadline-ms").empty())
        body["deadline_ms"] = line.number("deadline-ms");
    if (line.isOn("non-idempotent")) {
        body["idempotent"] = false;
        body["shard"] = line.text("shard");
        body["created_at_ms"] = line.text("created-at-ms").empty()
                                    ? nowMilliseconds()
                                    : static_cast<std::int64_t>(line.number("created-at-ms"));
    }
    return body;
}

void printQueryAnswer(const nlohmann::json &answer)
{
    fmt::print("request {} index version {} revision {} {}\n",
               textOf(answer.value("request_id", nlohmann::json())),
               textOf(answer.value("index_version", nlohmann::json())),
               textOf(answer.value("revision", nlohmann::json())),
               answer.value("complete", false) ? "complete" : "partial");
    const auto results = answer.value("results", nlohmann::json::object());
    for (const auto &[shard, body] : results.items())
        fmt::print("shard {}: {}\n", shard, textOf(body));
    const auto lacking = answer.value("lacking", nlohmann::json::array());
    for (const auto &missing : lacking)
        fmt::print("missing {}\n", missing.dump());
}

int printQueryResponse(const Http::Response &response, bool json)
{
    if (response.status != 200)
        return printErrorBody(response);
    if (json)
        fmt::print("{}\n", response.body);
    else
        printQueryAnswer(parseBody(response));
    return ExitSuccess;
}

/// Sends the query to the entries in turn; goes on only when nothing of it was sent.
int sendQuery(const OperatorClient &client, const std::vector<std::string> &addresses,
              const std::string &body, bool json)
{
    Base::Error lastError {Base::ErrorKind::ControlUnavailable, "no entry process is listed"};
    for (const auto &address : addresses) {
        const auto answer = client.ask(address, "POST", "/v1/query", body);
        if (answer)
            return printQueryResponse(answer->response, json);
        lastError = answer.error();
        if (lastError.kind != Base::ErrorKind::BackendUnreachable)
            break;
    }
    return printError(lastError);
}

} // namespace

int runEntries(const Settings::CommandLine &line)
{
    const auto entries = fetchEntries(callerClient(line));
    if (!entries)
        return printError(entries.error());
    if (line.isOn("json")) {
        fmt::print("{}\n", entries->dump());
        return ExitSuccess;
    }
    fmt::print("revision {}, valid for {} ms\n", textOf(entries->value("revision", nlohmann::json())),
               textOf(entries->value("max_age_ms", nlohmann::json())));
    for (const auto &entry : entries->value("entries", nlohmann::json::array()))
        fmt::print("{} {} {}\n", entry.value("id", ""), entry.value("address", ""),
                   entry.value("data_centre", ""));
    return ExitSuccess;
}

int runQuery(const Settings::CommandLine &line)
{
    if (line.isOn("non-idempotent") == line.text("shard").empty()) {
        fmt::print(stderr, "--shard: accepted only together with --non-idempotent, which needs it\n");
        return ExitUsage;
    }
    const auto client = callerClient(line);
    const auto entries = fetchEntries(client);
    if (!entries)
        return printError(entries.error());
    return sendQuery(client, addressesOf(*entries), queryBody(line).dump(), line.isOn("json"));
}

} // namespace Services
