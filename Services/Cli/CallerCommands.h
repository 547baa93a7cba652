#pragma once

#include "LibSettings/CommandLine.h"

namespace Services {

int runEntries(const Settings::CommandLine &line);
int runQuery(const Settings::CommandLine &line);

} // namespace Services
