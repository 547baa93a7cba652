#pragma once

#include "LibMetrics/Registry.h"
#include "Services/Entry/BackendListener.h"
#include "Services/Entry/EventQueue.h"
#include "Services/Entry/LeaseGuard.h"

#include <memory>

namespace Services {

/// What the threads of the backend connections share. It outlives the decision thread, because a thread may
/// be held inside the HTTP library for some time after a stop.
struct BackendContext
{
    std::shared_ptr<EventQueue> events;
    std::shared_ptr<LeaseGuard> lease;
    std::shared_ptr<Metrics::Registry> metrics;
    BackendListener *listener = nullptr; ///< Used inside events only; the queue is closed before it goes.
};

} // namespace Services
