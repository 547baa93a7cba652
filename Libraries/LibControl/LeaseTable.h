#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Control {

/// Leases of entry processes in the memory of the leader.
class LeaseTable
{
public:
    /// Allowance for clock rate differences and for delays between a process's clock readings.
    static constexpr double ClockDriftFraction = 0.05;
    static constexpr Base::Duration ClockDriftMargin = Base::milliseconds(200);

    struct Lease
    {
        std::uint64_t incarnation = 0;
        Base::Instant lastHeard; ///< Time of the last renewal, or of the election before the first one.
        bool renewed = false; ///< This leader has received a renewal.
        bool removalPending = false; ///< Its removal is proposed, so renewals are refused.
    };

    explicit LeaseTable(Base::Duration leaseDuration)
        : leaseDuration_(leaseDuration)
    {
    }

    Base::Duration leaseDuration() const { return leaseDuration_; }

    /// Time that the leader waits after a renewal before it treats the lease as expired.
    Base::Duration leaderExpiryDelay() const;

    void clear() { leases_.clear(); }

    /// Gives a registered entry process a full lease without a renewal; used after an election, because an
    /// earlier leader may have renewed it just before.
    void grantAfterElection(Base::Instant now, const std::string &entryId, std::uint64_t incarnation);

    /// Renews a lease, or starts one; refused while its removal is pending.
    bool renew(Base::Instant now, const std::string &entryId, std::uint64_t incarnation);

    /// Stops renewals until the removal has been applied.
    void beginRemoval(const std::string &entryId);

    void remove(const std::string &entryId) { leases_.erase(entryId); }

    /// Returns the entry ids whose lease has expired and whose removal is not pending.
    std::vector<std::string> expired(Base::Instant now) const;

    bool isLive(Base::Instant now, const std::string &entryId) const;

    const Lease *find(const std::string &entryId) const;

private:
    bool isLive(Base::Instant now, const Lease &lease) const;

    Base::Duration leaseDuration_;
    std::map<std::string, Lease> leases_;
};

} // namespace Control
