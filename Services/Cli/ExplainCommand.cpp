#include "Services/Cli/ExplainCommand.h"

#include "Services/Cli/ExplainQuestionCommand.h"
#include "Services/Cli/ServiceCommands.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <map>
#include <string_view>

namespace Services {

namespace {

/// Events that change what a process believes. Of each kind the latest one counts.
constexpr std::array<std::string_view, 9> BeliefEvents {
    "started",           "configuration_in_force", "configuration_stored", "server_list_changed",
    "directory_changed", "settings_reloaded",      "dependency_lost",      "dependency_regained",
    "state_changed"};

/// Returns the value of `key` in a line "key=value key="value" …", or an empty view.
std::string_view fieldOf(std::string_view line, std::string_view key)
{
    const auto pattern = fmt::format("{}=", key);
    for (auto at = line.find(pattern); at != std::string_view::npos; at = line.find(pattern, at + 1)) {
        if (at != 0 && line[at - 1] != ' ')
            continue;
        auto value = line.substr(at + pattern.size());
        if (value.starts_with('"'))
            return value.substr(1, value.find('"', 1) - 1);
        return value.substr(0, value.find(' '));
    }
    return {};
}

struct Found
{
    std::string time;
    std::string text;
};

std::size_t explainLog(const std::string &requestId, const NamedLog &log, std::vector<Found> &found)
{
    std::map<std::string, std::string, std::less<>> beliefs;
    std::size_t count = 0;
    for (std::string line; std::getline(*log.lines, line);) {
        // Collectors put a prefix of their own before a line.
        const auto start = line.find("time=");
        if (start == std::string::npos)
            continue;
        const auto text = line.substr(start);
        const auto event = fieldOf(text, "event");
        if (fieldOf(text, "request") == requestId) {
            for (const auto &[name, belief] : beliefs)
                found.push_back(
                    {std::string(fieldOf(belief, "time")), fmt::format("{}: {}", log.name, belief)});
            beliefs.clear();
            found.push_back({std::string(fieldOf(text, "time")), fmt::format("{}: {}", log.name, text)});
            ++count;
        } else if (std::find(BeliefEvents.begin(), BeliefEvents.end(), event) != BeliefEvents.end()) {
            beliefs[std::string(event)] = text;
        }
    }
    return count;
}

} // namespace

std::size_t explainRequest(const std::string &requestId, const std::vector<NamedLog> &logs,
                           std::ostream &output)
{
    std::vector<Found> found;
    std::size_t count = 0;
    for (const auto &log : logs)
        count += explainLog(requestId, log, found);
    std::stable_sort(found.begin(), found.end(),
                     [](const Found &left, const Found &right) { return left.time < right.time; });
    for (const auto &item : found)
        output << item.text << '\n';
    return count;
}

int runExplain(const Settings::CommandLine &line)
{
    if (line.argument("REQUEST").empty())
        return runExplainQuestion(line);
    if (const auto &gateway = line.text("gateway"); !gateway.empty()) {
        fmt::print(stderr, "--gateway: \"{}\" is not accepted together with REQUEST; accepted: one of them\n",
                   gateway);
        return ExitUsage;
    }
    std::vector<std::ifstream> files;
    std::vector<NamedLog> logs;
    const auto &paths = line.argument("FILE");
    files.reserve(paths.size());
    for (const auto &path : paths) {
        files.emplace_back(path);
        if (!files.back()) {
            fmt::print(stderr, "{}: the file cannot be read\n", path);
            return ExitFailure;
        }
        logs.push_back({path, &files.back()});
    }
    const auto requestId = line.argument("REQUEST").front();
    if (explainRequest(requestId, logs, std::cout) > 0)
        return ExitSuccess;
    fmt::print(
        stderr,
        "No line names request {}. Served requests are sampled; failed ones are logged up to the rate in "
        "docs/OPERATIONS.md.\n",
        requestId);
    return ExitFailure;
}

} // namespace Services
