#pragma once

#include "LibBase/Error.h"

#include <string>

namespace Settings {

/// Reads the shared secret from a file, without spaces and line ends around it. Secrets come only from files,
/// because flags and variables of a process can be read by others on its VM.
Base::Result<std::string> readKeyFile(const std::string &path);

} // namespace Settings
