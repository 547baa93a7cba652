#include "Services/Cli/DocumentCommands.h"

#include "LibConfiguration/DocumentDiff.h"
#include "LibConfiguration/DocumentParser.h"
#include "Services/Cli/CommandOutput.h"
#include "Services/Cli/ServiceCommands.h"

#include <fmt/format.h>

namespace Services {

namespace {

nlohmann::json toJson(const std::vector<Configuration::Mistake> &mistakes)
{
    auto list = nlohmann::json::array();
    for (const auto &mistake : mistakes)
        list.push_back({{"line", mistake.line},
                        {"path", mistake.path},
                        {"value", mistake.value},
                        {"accepted", mistake.accepted}});
    return list;
}

void printValidation(const std::string &path, const std::string &text,
                     const Configuration::ParseOutcome &outcome, bool json)
{
    if (json) {
        nlohmann::json report {{"file", path}, {"mistakes", toJson(outcome.mistakes)}};
        if (outcome.document)
            report["hash"] = Configuration::documentHash(text);
        fmt::print("{}\n", report.dump());
        return;
    }
    for (const auto &mistake : outcome.mistakes)
        fmt::print("{}: {}\n", path, Configuration::describe(mistake));
    if (outcome.document)
        fmt::print("{}: valid, {} indexes, hash {}\n", path, outcome.document->indexes.size(),
                   Configuration::documentHash(text));
}

Base::Result<Configuration::Document> parseOrFail(const std::string &source, const std::string &text)
{
    auto outcome = Configuration::parseDocument(text);
    if (outcome.document)
        return std::move(*outcome.document);
    std::string detail;
    for (const auto &mistake : outcome.mistakes)
        detail += fmt::format("\n{}: {}", source, Configuration::describe(mistake));
    return Base::fail(Base::ErrorKind::DocumentInvalid, detail);
}

Base::Result<Configuration::Document> parseFile(const std::string &path)
{
    return readFile(path).and_then([&](const std::string &text) { return parseOrFail(path, text); });
}

/// Fetches the document in effect; an empty document when there is none.
Base::Result<Configuration::Document> fetchEffective(const OperatorClient &client)
{
    const auto status = client.askLeader("GET", "/v1/status", {});
    if (!status)
        return tl::unexpected(status.error());
    const auto body = parseBody(status->response);
    if (!body.contains("production") || !body["production"].is_object())
        return Configuration::Document {};
    const auto hash = body["production"].value("hash", std::string());
    const auto text = client.askLeader("GET", "/v1/documents/" + hash, {});
    if (!text)
        return tl::unexpected(text.error());
    return parseOrFail(hash, text->response.body);
}

Base::Result<Configuration::Document> diffBase(const Settings::CommandLine &line)
{
    if (!line.argument("OTHER").empty())
        return parseFile(line.argument("FILE").front());
    if (line.text("control-http-addresses").empty())
        return Base::fail(
            Base::ErrorKind::SettingInvalid,
            "--control-http-addresses: a value is missing; accepted: addresses, or a second file");
    return makeOperatorClient(line).and_then(fetchEffective);
}

void printChanges(const std::vector<std::string> &changes, bool json)
{
    if (json) {
        fmt::print("{}\n", nlohmann::json {{"changes", changes}}.dump());
        return;
    }
    for (const auto &change : changes)
        fmt::print("{}\n", change);
    if (changes.empty())
        fmt::print("Nothing would change.\n");
}

int printAnswer(const AddressedResponse &answer, bool json, std::string_view field)
{
    if (answer.response.status != 200)
        return printErrorBody(answer.response);
    const auto body = parseBody(answer.response);
    if (json)
        fmt::print("{}\n", body.dump());
    else if (body.contains(field) && body[std::string(field)].is_string())
        fmt::print("{}\n", body[std::string(field)].get<std::string>());
    else if (body.contains(field))
        fmt::print("{}\n", body[std::string(field)].dump());
    return ExitSuccess;
}

} // namespace

int runValidate(const Settings::CommandLine &line)
{
    int exitCode = ExitSuccess;
    for (const auto &path : line.argument("FILE")) {
        const auto text = readFile(path);
        if (!text) {
            exitCode = printError(text.error());
            continue;
        }
        const auto outcome = Configuration::parseDocument(*text);
        printValidation(path, *text, outcome, line.isOn("json"));
        if (!outcome.document)
            exitCode = ExitFailure;
    }
    return exitCode;
}

int runDiff(const Settings::CommandLine &line)
{
    const auto before = diffBase(line);
    if (!before)
        return printError(before.error());
    const auto &other = line.argument("OTHER");
    const auto after = parseFile(other.empty() ? line.argument("FILE").front() : other.front());
    if (!after)
        return printError(after.error());
    printChanges(Configuration::describeChanges(*before, *after), line.isOn("json"));
    return ExitSuccess;
}

int runSubmit(const Settings::CommandLine &line)
{
    const auto text = readFile(line.argument("FILE").front());
    if (!text)
        return printError(text.error());
    const auto client = makeOperatorClient(line);
    if (!client)
        return printError(client.error());
    const auto answer = client->askLeader("POST", "/v1/documents", *text);
    return answer ? printAnswer(*answer, line.isOn("json"), "hash") : printError(answer.error());
}

int runPromote(const Settings::CommandLine &line)
{
    const auto client = makeOperatorClient(line);
    if (!client)
        return printError(client.error());
    const auto changeId = line.text("change-id").empty() ? randomId() : line.text("change-id");
    const nlohmann::json body {{"hash", line.argument("HASH").front()},
                               {"base_revision", line.number("base-revision")},
                               {"change_id", changeId}};
    // Printed first, so that an operator whose connection is lost can resend the same change.
    fmt::print(stderr, "change id {}\n", changeId);
    const auto answer = client->askLeader("POST", "/v1/promotions", body.dump());
    return answer ? printAnswer(*answer, line.isOn("json"), "revision") : printError(answer.error());
}

} // namespace Services
