#pragma once

#include "LibSettings/CommandLine.h"

namespace Services {

int runStatus(const Settings::CommandLine &line);

} // namespace Services
