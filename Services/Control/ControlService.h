#pragma once

#include "LibBase/Error.h"
#include "Services/Control/ControlSettings.h"

namespace Services {

/// Runs a control process until SIGTERM or SIGINT; returns after a graceful stop.
Base::Result<void> runControl(const ControlSettings &settings);

} // namespace Services
