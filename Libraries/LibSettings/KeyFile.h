#pragma once

#include "LibBase/Error.h"

#include <string>
#include <string_view>

namespace Settings {

/// Reads the shared secret from a file, without spaces and line ends around it. Secrets come only from files,
/// because flags and variables of a process can be read by others on its VM.
Base::Result<std::string> readKeyFile(const std::string &path);

/// The same for a secret of any length up to 4095 bytes; "-" is the standard input. `flag` is for the error.
Base::Result<std::string> readSecret(std::string_view flag, const std::string &path);

} // namespace Settings
