#pragma once

#include "LibBase/Error.h"
#include "Services/Entry/EntrySettings.h"

namespace Services {

/// Runs an entry process until SIGTERM or SIGINT; returns after a graceful stop.
Base::Result<void> runEntry(const EntrySettings &settings);

} // namespace Services
