#include "LibSettings/Command.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>

namespace Settings {

namespace {

std::string optionLine(const Setting &setting)
{
    const auto flag =
        setting.rule == &Switch ? fmt::format("--{}", setting.name) : fmt::format("--{}=VALUE", setting.name);
    auto line = fmt::format("  {:<32}  {} [{}]", flag, setting.help, variableName(setting.name));
    if (setting.required)
        line += " Required.";
    if (!setting.fallback.empty())
        line += fmt::format(" Without it: {}.", setting.fallback);
    return line + "\n";
}

} // namespace

std::string variableName(std::string_view settingName)
{
    std::string name = "DAISYROUTE_";
    for (const char character : settingName)
        name +=
            character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    return name;
}

std::string usageText(const Command &command)
{
    const auto *separator = command.arguments.empty() ? "" : " ";
    auto text = fmt::format("{}\n\nUsage:\n  daisyroute {} [options]{}{}\n\nOptions:\n", command.summary,
                            command.name, separator, command.arguments);
    for (const auto &setting : command.settings)
        text += optionLine(setting);
    return text + fmt::format("  {:<32}  Shows this text.\n", "--help");
}

std::string usageText(const std::vector<Command> &commands)
{
    std::string text = "Usage:\n";
    for (const auto &command : commands)
        text += fmt::format("  daisyroute {:<10} {}\n", command.name, command.summary);
    return text
           + "  daisyroute --version\n  daisyroute --help\n\n`daisyroute COMMAND --help` shows the settings "
             "of a "
             "command.\n";
}

} // namespace Settings
