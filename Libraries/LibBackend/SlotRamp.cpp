#include "LibBackend/SlotRamp.h"

namespace Backend {

namespace {

/// Replies needed before the next slot is opened.
constexpr std::uint32_t SuccessesPerSlot = 3;

} // namespace

void SlotRamp::restart()
{
    open_ = 1;
    successes_ = 0;
}

void SlotRamp::recordSuccess()
{
    if (open_ >= limit_)
        return;
    if (++successes_ < SuccessesPerSlot)
        return;
    successes_ = 0;
    ++open_;
}

} // namespace Backend
