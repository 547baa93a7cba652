#pragma once

#include "LibBase/Error.h"
#include "LibHttp/Message.h"
#include "LibSettings/CommandLine.h"
#include "Services/Cli/OperatorClient.h"

#include <nlohmann/json.hpp>
#include <string>

namespace Services {

/// Prints an error for people and returns the exit code of a failure.
int printError(const Base::Error &error);

/// Prints what an HTTP error body says and returns the exit code of a failure.
int printErrorBody(const Http::Response &response);

/// Parses a JSON body; anything malformed becomes an empty object.
nlohmann::json parseBody(const Http::Response &response);

Base::Result<std::string> readFile(const std::string &path);

/// Builds a client from the settings control-http-addresses, key-file and timeout-ms.
Base::Result<OperatorClient> makeOperatorClient(const Settings::CommandLine &line);

/// Returns a random id of 128 bits in hexadecimal digits.
std::string randomId();

} // namespace Services
