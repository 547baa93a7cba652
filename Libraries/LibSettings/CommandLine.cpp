#include "LibSettings/CommandLine.h"

#include "LibSettings/Lists.h"

#include <algorithm>
#include <charconv>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <set>
#include <unistd.h>

namespace Settings {

namespace {

constexpr std::string_view VariablePrefix = "DAISYROUTE_";

std::string describeMistake(const std::string &source, std::string_view value, std::string_view accepted)
{
    return fmt::format("{}: \"{}\" is not accepted; accepted: {}", source, value, accepted);
}

std::vector<std::string> toTexts(const docopt::value &value)
{
    if (value.isStringList())
        return value.asStringList();
    if (value.isString())
        return {value.asString()};
    return {};
}

} // namespace

std::vector<std::string> CommandLine::read(const std::vector<Command> &commands, const Command &command,
                                           const std::vector<std::string> &arguments,
                                           const Environment &environment)
{
    Mistakes mistakes;
    wantsHelp_ = std::find(arguments.begin(), arguments.end(), "--help") != arguments.end();
    if (wantsHelp_)
        return mistakes;
    refuseUnknownVariables(commands, environment, mistakes);
    refuseUnknownFlags(command, arguments, mistakes);
    if (mistakes.empty())
        readArguments(command, arguments, mistakes);
    if (mistakes.empty()) {
        for (const auto &setting : command.settings)
            readSetting(setting, environment, mistakes);
    }
    return mistakes;
}

void CommandLine::refuseUnknownVariables(const std::vector<Command> &commands, const Environment &environment,
                                         Mistakes &mistakes) const
{
    std::set<std::string> known;
    for (const auto &command : commands) {
        for (const auto &setting : command.settings)
            known.insert(variableName(setting.name));
    }
    for (const auto &[name, value] : environment) {
        if (name.starts_with(VariablePrefix) && known.find(name) == known.end())
            mistakes.push_back(fmt::format("{}: \"{}\" is given, but there is no such setting; accepted: {}",
                                           name, value, fmt::join(known, ", ")));
    }
}

void CommandLine::refuseUnknownFlags(const Command &command, const std::vector<std::string> &arguments,
                                     Mistakes &mistakes) const
{
    std::set<std::string> known;
    for (const auto &setting : command.settings)
        known.insert(fmt::format("--{}", setting.name));
    // docopt would take an unambiguous beginning of a flag, which a later flag could make ambiguous.
    for (const auto &argument : arguments) {
        if (argument == "--")
            return;
        const auto flag = argument.substr(0, argument.find('='));
        if (flag.starts_with("-") && flag.size() > 1 && known.find(flag) == known.end())
            mistakes.push_back(fmt::format("{}: there is no such setting of {}; accepted: {}, --help", flag,
                                           command.name, fmt::join(known, ", ")));
    }
}

void CommandLine::readArguments(const Command &command, const std::vector<std::string> &arguments,
                                Mistakes &mistakes)
{
    std::vector<std::string> words {std::string(command.name)};
    words.insert(words.end(), arguments.begin(), arguments.end());
    try {
        for (const auto &[name, value] : docopt::docopt_parse(usageText(command), words, false, false)) {
            if (name.starts_with("--") && value.isString())
                values_[name.substr(2)] = value.asString();
            else if (name.starts_with("--") && value.isBool() && value.asBool())
                values_[name.substr(2)] = "true";
            else if (!name.starts_with("--"))
                arguments_[name] = toTexts(value);
        }
    } catch (const docopt::DocoptArgumentError &error) {
        mistakes.push_back(fmt::format("{}; accepted: daisyroute {} [options] {}", error.what(), command.name,
                                       command.arguments));
    }
}

void CommandLine::readSetting(const Setting &setting, const Environment &environment, Mistakes &mistakes)
{
    const auto variable = variableName(setting.name);
    const auto given = values_.find(setting.name);
    auto source = fmt::format("--{}", setting.name);
    std::string value;
    if (given != values_.end()) {
        value = given->second;
    } else if (const auto found = environment.find(variable); found != environment.end()) {
        source = variable;
        value = found->second;
    } else if (setting.fallback.empty()) {
        if (setting.required)
            mistakes.push_back(fmt::format("--{} or {}: a value is missing; accepted: {}", setting.name,
                                           variable, setting.rule->accepted));
        return;
    } else {
        value = setting.fallback;
    }
    if (!setting.rule->accepts(value))
        mistakes.push_back(describeMistake(source, value, setting.rule->accepted));
    values_[std::string(setting.name)] = value;
}

const std::string &CommandLine::text(std::string_view name) const
{
    static const std::string Empty;
    const auto found = values_.find(name);
    return found == values_.end() ? Empty : found->second;
}

std::vector<std::string> CommandLine::list(std::string_view name) const
{
    return splitList(text(name));
}

std::uint64_t CommandLine::number(std::string_view name) const
{
    const auto &value = text(name);
    std::uint64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

bool CommandLine::isOn(std::string_view name) const
{
    const auto &value = text(name);
    return value == "true" || value == "1";
}

const std::vector<std::string> &CommandLine::argument(std::string_view name) const
{
    static const std::vector<std::string> None;
    const auto found = arguments_.find(name);
    return found == arguments_.end() ? None : found->second;
}

Environment processEnvironment()
{
    Environment environment;
    for (char **entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string text(*entry);
        const auto separator = text.find('=');
        if (text.starts_with(VariablePrefix) && separator != std::string::npos)
            environment[text.substr(0, separator)] = text.substr(separator + 1);
    }
    return environment;
}

} // namespace Settings
