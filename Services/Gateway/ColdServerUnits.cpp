#include "Services/Gateway/ColdServerUnits.h"

#include "LibAllowance/AllowanceKey.h"

#include <utility>

namespace Services {

namespace {

std::string keyOf(const Forward::Backend &server)
{
    return Allowance::coldServerKey(server.record.service, server.record.id, server.record.bornAt);
}

} // namespace

std::optional<Base::Instant> ColdServerUnits::take(Base::Instant now, const Forward::Backend &server)
{
    const auto validUntil = source_.take(now, keyOf(server));
    missed_ = missed_ || !validUntil;
    return validUntil;
}

bool ColdServerUnits::has(Base::Instant now, const Forward::Backend &server) const
{
    return source_.has(now, keyOf(server));
}

void ColdServerUnits::giveBack(Base::Instant now, const Forward::Backend &server, Base::Instant validUntil)
{
    source_.giveBack(now, keyOf(server), validUntil);
}

bool ColdServerUnits::takeMissed()
{
    return std::exchange(missed_, false);
}

} // namespace Services
