#pragma once

#include "LibSettings/Command.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

using Environment = std::map<std::string, std::string>;

/// The checked settings and arguments of one call of the program.
class CommandLine
{
public:
    /// Reads `arguments` (without the program and the command name) and the variables. Returns all mistakes;
    /// the object is usable only when there are none. Variables of other commands are accepted, because
    /// one environment often serves several commands.
    std::vector<std::string> read(const std::vector<Command> &commands, const Command &command,
                                  const std::vector<std::string> &arguments, const Environment &environment);

    bool wantsHelp() const { return wantsHelp_; }

    /// Returns the value of a setting; empty when it was not given and has no fallback.
    const std::string &text(std::string_view name) const;
    std::vector<std::string> list(std::string_view name) const;
    std::uint64_t number(std::string_view name) const;
    bool isOn(std::string_view name) const;

    /// Returns the positional argument `name` of the command's pattern.
    const std::vector<std::string> &argument(std::string_view name) const;

private:
    using Mistakes = std::vector<std::string>;

    void refuseUnknownVariables(const std::vector<Command> &commands, const Environment &environment,
                                Mistakes &mistakes) const;
    void refuseUnknownFlags(const Command &command, const std::vector<std::string> &arguments,
                            Mistakes &mistakes) const;
    void readArguments(const Command &command, const std::vector<std::string> &arguments, Mistakes &mistakes);
    void readSetting(const Setting &setting, const Environment &environment, Mistakes &mistakes);

    std::map<std::string, std::string, std::less<>> values_;
    std::map<std::string, std::vector<std::string>, std::less<>> arguments_;
    bool wantsHelp_ = false;
};

/// Returns the process's environment variables that start with DAISYROUTE_.
Environment processEnvironment();

} // namespace Settings
