#pragma once

#include "LibSettings/Command.h"

#include <vector>

namespace Services {

/// All subcommands of daisyroute with their settings.
const std::vector<Settings::Command> &commandTable();

} // namespace Services
