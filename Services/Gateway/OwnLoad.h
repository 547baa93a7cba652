#pragma once

#include "LibBase/EventLog.h"
#include "LibRegistry/BusyMeter.h"
#include "LibRegistry/CallerShare.h"
#include "Services/Gateway/GatewayMetrics.h"

#include <cstdint>
#include <optional>

namespace Services {

/// Measures how busy this gateway is by a timer of its event loop, and holds the share of callers that it
/// reports. Exists only with `share_callers_by_load`.
class OwnLoad
{
public:
    OwnLoad(Base::EventLog &events, GatewayMetrics &metrics)
        : events_(events)
        , metrics_(metrics)
    {
    }

    /// The timer runs at `now`. Call expectTick() before the end of its task.
    void tick(Base::Instant now);
    /// The timer is due at `dueAt` the next time.
    void expectTick(Base::Instant dueAt) { dueAt_ = dueAt; }

    /// In sixteenths, as in Wire::GatewayRecord.
    std::uint8_t callerShare() const { return share_.sixteenths(); }

private:
    Base::EventLog &events_;
    GatewayMetrics &metrics_;
    Registry::BusyMeter meter_;
    Registry::CallerShare share_;
    std::optional<Base::Instant> dueAt_;
};

} // namespace Services
