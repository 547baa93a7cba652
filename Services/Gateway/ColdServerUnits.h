#pragma once

#include "LibAllowance/UnitSource.h"
#include "LibForward/ColdUnits.h"

namespace Services {

/// Takes the units of cold servers from the same stock as those of tenants.
class ColdServerUnits final : public Forward::ColdUnits
{
public:
    explicit ColdServerUnits(Allowance::UnitSource &source)
        : source_(source)
    {
    }

    std::optional<Base::Instant> take(Base::Instant now, const Forward::Backend &server) override;
    bool has(Base::Instant now, const Forward::Backend &server) const override;
    void giveBack(Base::Instant now, const Forward::Backend &server, Base::Instant validUntil) override;

    /// Returns whether a unit has been missing since the last call, so that work may wait for it.
    bool takeMissed();

private:
    Allowance::UnitSource &source_;
    bool missed_ = false;
};

} // namespace Services
