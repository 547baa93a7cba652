#pragma once

#include "LibAdapter/PlatformAdapter.h"
#include "LibSettings/CommandLine.h"

namespace Services {

/// Each returns the exit code of the program.
int runGatewayCommand(const Settings::CommandLine &line, const Adapter::PlatformAdapter &adapter);
int runRegistryCommand(const Settings::CommandLine &line, const Adapter::PlatformAdapter &adapter);
int runCheckSettings(const Settings::CommandLine &line);

} // namespace Services
