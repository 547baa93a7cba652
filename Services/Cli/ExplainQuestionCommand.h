#pragma once

#include "LibSettings/CommandLine.h"

namespace Services {

/// Asks a running gateway what it would do with a request. Returns the exit code of the program.
int runExplainQuestion(const Settings::CommandLine &line);

} // namespace Services
