#include "Services/Cli/ExplainQuestionCommand.h"

#include "LibSettings/Command.h"
#include "LibSettings/KeyFile.h"
#include "LibSettings/Rule.h"
#include "Services/Cli/CommandOutput.h"
#include "Services/Cli/ExplanationText.h"
#include "Services/Cli/ServiceCommands.h"
#include "Services/Gateway/ExplainQuestion.h"

#include <array>
#include <fmt/format.h>

namespace Services {

namespace {

struct NeededSetting
{
    std::string_view name;
    const Settings::Rule *rule;
};

constexpr std::array<NeededSetting, 4> NeededSettings {{{"gateway", &Settings::Address},
                                                        {"key-file", &Settings::Text},
                                                        {"host", &Settings::HostName},
                                                        {"path", &Settings::RequestPath}}};

/// What must be known to ask.
struct Inquiry
{
    ExplainQuestion question;
    std::string clusterKey;
};

/// Reads the caller's key of the question, if there is one.
void readCallerKey(const Settings::CommandLine &line, ExplainQuestion &question,
                   std::vector<std::string> &mistakes)
{
    const auto &path = line.text("caller-key-file");
    if (path.empty())
        return;
    auto key = Settings::readSecret("--caller-key-file", path);
    if (!key)
        mistakes.push_back(key.error().detail);
    else if (!isCallerKey(*key))
        mistakes.push_back(
            fmt::format("--caller-key-file: \"{}\" is not accepted; accepted: a file with one key of "
                        "printable ASCII characters",
                        path));
    else
        question.key = std::move(*key);
}

Inquiry readInquiry(const Settings::CommandLine &line, std::vector<std::string> &mistakes)
{
    for (const auto &needed : NeededSettings) {
        if (line.text(needed.name).empty())
            mistakes.push_back(fmt::format("--{} or {}: a value is missing; accepted: {}", needed.name,
                                           Settings::variableName(needed.name), needed.rule->accepted));
    }
    if (line.text("gateway").empty())
        mistakes.emplace_back(
            "or REQUEST FILE...: for what the logs say about a request; accepted: its id and logs");
    Inquiry inquiry;
    inquiry.question = {line.text("host"), line.text("path"), std::nullopt, line.number("size")};
    if (const auto &path = line.text("key-file"); path == "-") {
        mistakes.emplace_back("--key-file: \"-\" is not accepted; accepted: a file");
    } else if (!path.empty()) {
        auto key = Settings::readSecret("--key-file", path);
        if (key)
            inquiry.clusterKey = std::move(*key);
        else
            mistakes.push_back(key.error().detail);
    }
    readCallerKey(line, inquiry.question, mistakes);
    return inquiry;
}

} // namespace

int runExplainQuestion(const Settings::CommandLine &line)
{
    std::vector<std::string> mistakes;
    const auto inquiry = readInquiry(line, mistakes);
    for (const auto &mistake : mistakes)
        fmt::print(stderr, "{}\n", mistake);
    if (!mistakes.empty())
        return ExitUsage;
    const auto &gateway = line.text("gateway");
    const OperatorClient client({gateway}, inquiry.clusterKey, Base::milliseconds(line.number("timeout-ms")));
    const auto answer =
        client.ask(gateway, "POST", std::string(ExplainPath), formatExplainQuestion(inquiry.question));
    if (!answer)
        return printError(answer.error());
    if (answer->response.status != 200)
        return printErrorBody(answer->response);
    const auto explanation = parseBody(answer->response);
    // Another process, or one of an earlier release, answers any path with its metrics.
    if (!explanation.contains("verdict"))
        return printError(
            {Base::ErrorKind::MalformedMessage, gateway + " is not the metrics address of a gateway"});
    if (line.text("format") == "json")
        fmt::print("{}\n", explanation.dump());
    else
        fmt::print("{}", explanationText(explanation));
    return ExitSuccess;
}

} // namespace Services
