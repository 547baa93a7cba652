#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Forward {

/// A request's claim to room at one service.
struct RoomClaim
{
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    std::string_view tenant; ///< Empty for a request without one.
    double weight = 1.0; ///< Of the tenant; 1 is that of an average one.
    double costMs = 1.0; ///< Expected time at a server; above 0.
    bool late = false; ///< It can no longer be answered within its target.
    bool nothingSent = true; ///< Its request can be refused as not run.
    Base::Instant deadline;
    std::uint64_t id = 0; ///< Rises with the time of arrival.
};

/// Shares the scarce room of one service among tenants and ranks. Holds what each has had, not the requests
/// that wait: these are passed in. Load patterns: one or two tenants send many times their usual, and more
/// arrives for a long time than the servers can run.
///
/// Within a rank it is a start-time fair queue by weight. A tenant's position depends on what it has had, not
/// on how much it sends, so requests that callers repeat at once wait behind their own tenant's others.
/// Claims that can still be in time go first. Lower ranks keep a floor.
class FairQueue
{
public:
    /// Sets how many tenants share the room: requests without a tenant count as their arrivals do, and at
    /// most as all tenants together.
    void setTenantCount(std::size_t count) { tenantCount_ = static_cast<double>(count); }

    /// Counts a request of a rank as demand, whether or not it will be admitted.
    void recordArrival(Base::Instant now, const RoomClaim &claim);

    /// Charges a claim that was sent while those in `waiting` waited. `waiting` may contain it.
    void recordSent(const RoomClaim &sent, std::span<const RoomClaim> waiting);

    /// Index of the claim that gets the next room; empty if none waits.
    std::optional<std::size_t> next(std::span<const RoomClaim> waiting) const;

    /// Time at the servers of what will be served before the claim. `waiting` may contain it.
    double costAheadMs(const RoomClaim &claim, std::span<const RoomClaim> waiting) const;

    /// Index of the claim to refuse for others: of the tenant of the rank whose waiting work exceeds its
    /// share furthest, the one with nothing sent that would be served last. Empty if that tenant has none.
    std::optional<std::size_t> furthestAboveShare(std::uint32_t rank,
                                                  std::span<const RoomClaim> waiting) const;

    /// Whether the waiting work of the claim's tenant, with the claim, is more than the tenant's share of all
    /// that waits in its rank.
    bool isAboveShare(const RoomClaim &claim, std::span<const RoomClaim> waiting) const;

    /// Tenants that are charged for more than what others have had; for the bound of the memory.
    std::size_t accountCount() const;

private:
    /// Times are virtual: time at the servers divided by the weight.
    struct RankAccount
    {
        double virtualTime = 0.0; ///< Start of the latest claim served.
        std::map<std::string, double, std::less<>> finishes; ///< By tenant: end of its latest claim served.
        double tenantDemandMs = 0.0; ///< Moving sum.
        double otherDemandMs = 0.0; ///< The same of requests without a tenant.
        double creditMs = 0.0; ///< What the floor has earned while more urgent ranks were served.
    };

    /// Waiting work of one tenant in a rank.
    struct Backlog
    {
        std::string_view tenant;
        double weight = 1.0;
        double start = 0.0; ///< Virtual start of its next claim.
        double costMs = 0.0;
        double claims = 0.0;

        double finish() const { return start + costMs / weight; }
    };

    const RankAccount *find(std::uint32_t rank) const;
    double startOf(const RoomClaim &claim) const;
    double weightOf(const RoomClaim &claim) const;
    double floorOf(std::uint32_t rank) const;
    std::uint32_t nextRank(std::span<const RoomClaim> waiting) const;
    std::vector<Backlog> backlogs(std::uint32_t rank, std::span<const RoomClaim> waiting) const;
    double costAheadInRankMs(const RoomClaim &claim, std::span<const RoomClaim> waiting) const;

    std::map<std::uint32_t, RankAccount> ranks_;
    Base::Instant demandAt_;
    double tenantCount_ = 1.0;
};

} // namespace Forward
