#pragma once

#include "LibRoute/Configuration.h"

namespace Forward {

/// Resources of the VM that a gateway runs on.
struct VmCapacity
{
    double processorShare = 1.0; ///< Of a core.
    double linkMegabits = 1000.0; ///< Per second.
};

/// Processor and link time that a gateway needs for the parts of the widest gather in the configuration, as a
/// fraction of that gather's latency target. 0 without gathers.
double gatherLoad(const Route::Configuration &configuration, const VmCapacity &capacity);

/// Returns whether the VM can serve the gathers of the configuration in time. For gathers over about a
/// hundred shards on VMs with a tenth of a core and a narrow link, handling the parts alone takes most of the
/// target, and answers that are late anyway delay others.
bool suitsGathers(const Route::Configuration &configuration, const VmCapacity &capacity);

} // namespace Forward
