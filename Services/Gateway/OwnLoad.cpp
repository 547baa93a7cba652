#include "Services/Gateway/OwnLoad.h"

#include <fmt/format.h>

namespace Services {

void OwnLoad::tick(Base::Instant now)
{
    if (!dueAt_)
        return;
    share_.update(now, meter_.sample(now, now - *dueAt_));
    const auto share = static_cast<double>(share_.sixteenths()) / Wire::FullCallerShare;
    metrics_.setGauge("daisyroute_gateway_busy", "How busy the event loop is, from 0 to 1, smoothed.",
                      share_.busy());
    metrics_.setGauge("daisyroute_caller_share", "Share of callers that this gateway asks for, up to 1.",
                      share);
    const auto change = share_.takeLargeChange();
    if (!change)
        return;
    const auto from = static_cast<double>(change->from) / Wire::FullCallerShare;
    events_.write(now, Base::EventLog::Importance::Notable, "caller_share_changed",
                  {{"from", from}, {"to", share}, {"busy", fmt::format("{:.2f}", share_.busy())}});
}

} // namespace Services
