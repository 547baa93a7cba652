#pragma once

#include "LibSettings/CommandLine.h"

namespace Services {

/// Exit codes of the program.
enum ExitCode : int {
    ExitSuccess = 0,
    ExitFailure = 1, ///< The command failed, or `status` found the system unhealthy.
    ExitUsage = 2 ///< A setting or argument is wrong; nothing was done.
};

int runControlCommand(const Settings::CommandLine &line);
int runEntryCommand(const Settings::CommandLine &line);

} // namespace Services
