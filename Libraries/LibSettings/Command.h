#pragma once

#include "LibSettings/Rule.h"

#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// One setting: the flag --NAME and the variable DAISYROUTE_<NAME>. The flag takes precedence.
struct Setting
{
    std::string_view name; ///< For example "http-address".
    const Rule *rule = nullptr;
    std::string_view help;
    std::string_view fallback = {}; ///< Used without flag and variable; empty means none.
    bool required = false;
};

/// One subcommand of the program.
struct Command
{
    std::string_view name;
    std::string_view arguments; ///< Positional arguments as in a docopt pattern; each in capitals.
    std::string_view summary;
    std::vector<Setting> settings;
};

/// Returns the environment variable of a setting, for example DAISYROUTE_HTTP_ADDRESS.
std::string variableName(std::string_view settingName);

/// Returns the docopt usage text of one command.
std::string usageText(const Command &command);

/// Returns the usage text of the whole program.
std::string usageText(const std::vector<Command> &commands);

} // namespace Settings
