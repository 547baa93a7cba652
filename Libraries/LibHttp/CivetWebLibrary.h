#pragma once

namespace Http {

/// Initializes CivetWeb once per process; thread-safe.
void initializeCivetWeb();

} // namespace Http
