#pragma once

#include "LibSettings/CommandLine.h"

namespace Services {

int runValidate(const Settings::CommandLine &line);
int runDiff(const Settings::CommandLine &line);
int runSubmit(const Settings::CommandLine &line);
int runPromote(const Settings::CommandLine &line);

} // namespace Services
