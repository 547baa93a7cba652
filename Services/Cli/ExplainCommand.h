#pragma once

#include "LibSettings/CommandLine.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace Services {

/// One process's log with the name that its lines are printed under.
struct NamedLog
{
    std::string name;
    std::istream *lines = nullptr;
};

/// Writes every line about the request from all logs in the order of their time. Before the first line of
/// each process stand its latest lines about what it believed: configuration, servers, directory,
/// dependencies. Returns the number of lines about the request.
std::size_t explainRequest(const std::string &requestId, const std::vector<NamedLog> &logs,
                           std::ostream &output);

/// Explains from logs, or by a running gateway. Returns the exit code of the program.
int runExplain(const Settings::CommandLine &line);

} // namespace Services
