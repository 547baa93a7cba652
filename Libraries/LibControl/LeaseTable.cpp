#include "LibControl/LeaseTable.h"

namespace Control {

Base::Duration LeaseTable::leaderExpiryDelay() const
{
    const auto drift = static_cast<double>(leaseDuration_.count()) * ClockDriftFraction;
    return leaseDuration_ + Base::Duration(static_cast<Base::Duration::rep>(drift)) + ClockDriftMargin;
}

void LeaseTable::grantAfterElection(Base::Instant now, const std::string &entryId, std::uint64_t incarnation)
{
    leases_[entryId] = {incarnation, now, false, false};
}

bool LeaseTable::renew(Base::Instant now, const std::string &entryId, std::uint64_t incarnation)
{
    const auto found = leases_.find(entryId);
    if (found != leases_.end() && (found->second.removalPending || found->second.incarnation != incarnation))
        return false;
    leases_[entryId] = {incarnation, now, true, false};
    return true;
}

void LeaseTable::beginRemoval(const std::string &entryId)
{
    const auto found = leases_.find(entryId);
    if (found != leases_.end())
        found->second.removalPending = true;
}

std::vector<std::string> LeaseTable::expired(Base::Instant now) const
{
    std::vector<std::string> entryIds;
    for (const auto &[entryId, lease] : leases_) {
        if (!lease.removalPending && !isLive(now, lease))
            entryIds.push_back(entryId);
    }
    return entryIds;
}

bool LeaseTable::isLive(Base::Instant now, const std::string &entryId) const
{
    const auto *lease = find(entryId);
    return lease != nullptr && isLive(now, *lease);
}

const LeaseTable::Lease *LeaseTable::find(const std::string &entryId) const
{
    const auto found = leases_.find(entryId);
    return found == leases_.end() ? nullptr : &found->second;
}

bool LeaseTable::isLive(Base::Instant now, const Lease &lease) const
{
    return !lease.removalPending && now < lease.lastHeard + leaderExpiryDelay();
}

} // namespace Control
