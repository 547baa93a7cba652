#include "LibBackend/LatencyEstimate.h"

#include <algorithm>

namespace Backend {

namespace {

/// Weight of a new sample is one part in this many.
constexpr int AverageWindow = 8;

/// The lower envelope rises by one part in this many per sample, so that a server that became slower is
/// noticed.
constexpr int EnvelopeWindow = 64;

} // namespace

void LatencyEstimate::record(Base::Duration sample)
{
    if (average_ == Base::Duration::zero()) {
        average_ = sample;
        fastest_ = sample;
        return;
    }
    average_ += (sample - average_) / AverageWindow;
    fastest_ = std::min(sample, fastest_ + fastest_ / EnvelopeWindow);
}

} // namespace Backend
