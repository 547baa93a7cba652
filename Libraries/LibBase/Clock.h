#pragma once

#include "LibBase/Time.h"

namespace Base {

/// Source of time at the edges. Decision logic takes `now` as a parameter instead.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
    virtual WallMilliseconds wallNow() const = 0;
};

/// Reads CLOCK_BOOTTIME, so that a lease also ages while the VM is suspended.
class SystemClock final : public Clock
{
public:
    Instant now() const override;
    WallMilliseconds wallNow() const override;
};

} // namespace Base
