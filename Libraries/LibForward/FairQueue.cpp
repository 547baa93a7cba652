#include "LibForward/FairQueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Forward {

namespace {

/// Under lasting overload each rank is served at least half as often as all together. The floor is set
/// higher, because demand is an estimate and waiting requests of low rank may pass their deadline.
constexpr double FloorFraction = 0.7;
/// Claims that a tenant may have served ahead of its share after it was idle. Callers that come at random
/// send two or three at once now and then.
constexpr double BurstClaims = 4.0;
/// Half-life of the demand by rank: longer than a burst between two replies, shorter than an overload.
constexpr double DemandHalfLifeMs = 2000.0;
/// Accounts of one rank from which on those that nothing is charged to any more are removed.
constexpr std::size_t AccountsBeforePruning = 64;

/// The order within a tenant. Without the first criterion all requests of an overload would be slightly late.
auto urgencyOf(const RoomClaim &claim)
{
    return std::tuple(claim.late, claim.deadline, claim.id);
}

} // namespace

const FairQueue::RankAccount *FairQueue::find(std::uint32_t rank) const
{
    const auto found = ranks_.find(rank);
    return found == ranks_.end() ? nullptr : &found->second;
}

/// A tenant that was idle owes nothing and has saved up room for a small burst. Without it, the second of two
/// requests of a small tenant that come together would wait for a whole interval of its share.
double FairQueue::startOf(const RoomClaim &claim) const
{
    const auto *account = find(claim.rank);
    if (account == nullptr)
        return 0.0;
    const auto saved = account->virtualTime - BurstClaims * claim.costMs / weightOf(claim);
    const auto finish = account->finishes.find(claim.tenant);
    return finish == account->finishes.end() ? saved : std::max(saved, finish->second);
}

/// Requests without a tenant come from many callers, so they weigh as much as their part of the demand.
double FairQueue::weightOf(const RoomClaim &claim) const
{
    if (!claim.tenant.empty())
        return claim.weight;
    const auto *account = find(claim.rank);
    if (account == nullptr || account->tenantDemandMs <= 0.0)
        return 1.0;
    return std::clamp(tenantCount_ * account->otherDemandMs / account->tenantDemandMs, 1.0,
                      std::max(1.0, tenantCount_));
}

/// Fraction of the room that the rank gets at least while more urgent ones wait.
double FairQueue::floorOf(std::uint32_t rank) const
{
    double all = 0.0;
    double own = 0.0;
    for (const auto &[other, account] : ranks_) {
        const auto demand = account.tenantDemandMs + account.otherDemandMs;
        all += demand;
        own += other == rank ? demand : 0.0;
    }
    return all > 0.0 ? FloorFraction * own / all : 0.0;
}

void FairQueue::recordArrival(Base::Instant now, const RoomClaim &claim)
{
    const auto decay = std::exp2(-std::max(0.0, Base::toMilliseconds(now - demandAt_)) / DemandHalfLifeMs);
    demandAt_ = now;
    for (auto &[rank, account] : ranks_) {
        account.tenantDemandMs *= decay;
        account.otherDemandMs *= decay;
    }
    auto &account = ranks_[claim.rank];
    (claim.tenant.empty() ? account.otherDemandMs : account.tenantDemandMs) += claim.costMs;
}

void FairQueue::recordSent(const RoomClaim &sent, std::span<const RoomClaim> waiting)
{
    auto &account = ranks_[sent.rank];
    const auto start = startOf(sent);
    account.virtualTime = std::max(account.virtualTime, start);
    account.finishes.insert_or_assign(std::string(sent.tenant), start + sent.costMs / weightOf(sent));
    if (account.finishes.size() >= AccountsBeforePruning)
        std::erase_if(account.finishes, [&](const auto &entry) { return entry.second <= start; });
    // Only a rank that waits behind a more urgent one earns credit, so that it cannot save up room.
    bool overtakes = false;
    for (auto &[rank, other] : ranks_) {
        const bool waits = std::any_of(waiting.begin(), waiting.end(), [&, rank = rank](const auto &claim) {
            return claim.rank == rank && claim.id != sent.id;
        });
        if (!waits)
            other.creditMs = 0.0;
        else if (rank > sent.rank)
            other.creditMs += floorOf(rank) * sent.costMs;
        overtakes = overtakes || (waits && rank < sent.rank);
    }
    if (overtakes)
        account.creditMs = std::max(0.0, account.creditMs - sent.costMs);
}

std::uint32_t FairQueue::nextRank(std::span<const RoomClaim> waiting) const
{
    auto rank = waiting.front().rank;
    for (const auto &claim : waiting)
        rank = std::min(rank, claim.rank);
    auto best = rank;
    double surplus = 0.0;
    for (const auto &claim : waiting) {
        const auto *account = find(claim.rank);
        if (claim.rank == rank || account == nullptr)
            continue;
        if (account->creditMs >= claim.costMs && account->creditMs - claim.costMs >= surplus) {
            surplus = account->creditMs - claim.costMs;
            best = claim.rank;
        }
    }
    return best;
}

std::optional<std::size_t> FairQueue::next(std::span<const RoomClaim> waiting) const
{
    if (waiting.empty())
        return std::nullopt;
    const auto rank = nextRank(waiting);
    std::optional<std::size_t> best;
    // A claim that is late already gains nothing from its turn: it goes behind all that can be in time.
    const auto keyOf = [this](const RoomClaim &claim) {
        return std::tuple(claim.late, startOf(claim), claim.deadline, claim.id);
    };
    decltype(keyOf(waiting.front())) bestKey;
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        if (waiting[index].rank != rank)
            continue;
        const auto key = keyOf(waiting[index]);
        if (best && !(key < bestKey))
            continue;
        best = index;
        bestKey = key;
    }
    return best;
}

std::vector<FairQueue::Backlog> FairQueue::backlogs(std::uint32_t rank,
                                                    std::span<const RoomClaim> waiting) const
{
    std::map<std::string_view, Backlog> byTenant;
    for (const auto &claim : waiting) {
        if (claim.rank != rank)
            continue;
        auto &backlog = byTenant[claim.tenant];
        if (backlog.claims == 0.0)
            backlog = {claim.tenant, weightOf(claim), startOf(claim)};
        backlog.costMs += claim.costMs;
        backlog.claims += 1.0;
    }
    std::vector<Backlog> result;
    result.reserve(byTenant.size());
    for (const auto &[tenant, backlog] : byTenant)
        result.push_back(backlog);
    return result;
}

double FairQueue::costAheadInRankMs(const RoomClaim &claim, std::span<const RoomClaim> waiting) const
{
    double own = 0.0;
    for (const auto &other : waiting) {
        if (other.rank == claim.rank && other.tenant == claim.tenant && urgencyOf(other) < urgencyOf(claim))
            own += other.costMs;
    }
    const auto start = startOf(claim) + own / weightOf(claim);
    double ahead = own;
    for (const auto &backlog : backlogs(claim.rank, waiting)) {
        if (backlog.tenant == claim.tenant)
            continue;
        // A tenant is served as long as its next claim starts first.
        const auto mean = backlog.costMs / backlog.claims;
        const auto claims = std::ceil(std::max(0.0, start - backlog.start) * backlog.weight / mean);
        ahead += std::min(backlog.claims, claims) * mean;
    }
    return ahead;
}

double FairQueue::costAheadMs(const RoomClaim &claim, std::span<const RoomClaim> waiting) const
{
    double urgent = 0.0;
    std::map<std::uint32_t, double> lower;
    for (const auto &other : waiting) {
        urgent += other.rank < claim.rank ? other.costMs : 0.0;
        if (other.rank > claim.rank)
            lower[other.rank] += other.costMs;
    }
    const auto inRank = costAheadInRankMs(claim, waiting);
    auto ahead = urgent + inRank;
    if (const auto floor = floorOf(claim.rank); urgent > 0.0 && floor > 0.0)
        ahead = std::min(ahead, (inRank + claim.costMs) / floor - claim.costMs);
    double belowMs = 0.0;
    for (const auto &[rank, costMs] : lower)
        belowMs += std::min(costMs, floorOf(rank) * ahead);
    return ahead + belowMs;
}

std::optional<std::size_t> FairQueue::furthestAboveShare(std::uint32_t rank,
                                                         std::span<const RoomClaim> waiting) const
{
    const auto all = backlogs(rank, waiting);
    const auto furthest = std::max_element(all.begin(), all.end(), [](const auto &left, const auto &right) {
        return left.finish() < right.finish();
    });
    if (furthest == all.end())
        return std::nullopt;
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        const auto &claim = waiting[index];
        if (claim.rank == rank && claim.tenant == furthest->tenant && claim.nothingSent
            && (!last || urgencyOf(waiting[*last]) < urgencyOf(claim)))
            last = index;
    }
    return last;
}

bool FairQueue::isAboveShare(const RoomClaim &claim, std::span<const RoomClaim> waiting) const
{
    double all = claim.costMs;
    double weights = weightOf(claim);
    double own = claim.costMs;
    for (const auto &backlog : backlogs(claim.rank, waiting)) {
        all += backlog.costMs;
        if (backlog.tenant == claim.tenant)
            own += backlog.costMs;
        else
            weights += backlog.weight;
    }
    return own / weightOf(claim) > all / weights + 1e-9;
}

std::size_t FairQueue::accountCount() const
{
    std::size_t count = 0;
    for (const auto &[rank, account] : ranks_)
        count += account.finishes.size();
    return count;
}

} // namespace Forward
