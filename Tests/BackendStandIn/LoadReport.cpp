#include "BackendStandIn/LoadReport.h"

namespace StandIn {

namespace {

/// No load older than this can be reported.
constexpr Base::Duration LongestLag = Base::seconds(60);

} // namespace

void LoadReport::record(Base::Instant now, double load)
{
    samples_.emplace_back(now, load);
    while (samples_.size() > 1 && samples_[1].first < now - LongestLag)
        samples_.pop_front();
}

double LoadReport::reported(Base::Instant now, Base::Duration lag) const
{
    for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample) {
        if (sample->first <= now - lag)
            return sample->second;
    }
    return 0;
}

} // namespace StandIn
