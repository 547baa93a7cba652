#include "LibForward/BackendTable.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace Forward {

namespace {

/// Consecutive list reads without a server after which it is removed.
constexpr std::uint32_t AbsentReadsBeforeRemoval = 2;
/// Time for which a server that was removed is remembered after its pause. Entries of other writers are
/// damaged for seconds.
constexpr Base::Duration RemovedMemory = Base::seconds(60);
/// Reads are further apart than this. The ages that one read arrives with differ by less.
constexpr Base::Duration MinReadDistance = Base::milliseconds(450);
/// Minimum of the limit on open attempts at a server; applies if its number of slots is 1 or not known. One
/// attempt runs while the next is in transit.
constexpr std::uint32_t MinOpenAttempts = 2;
/// A server counts as stalled once an attempt has been open for this multiple of its mean latency.
constexpr double StallFactor = 3.0;
/// Minimum time before a stall is assumed: the latency of fast services varies by more than its mean.
constexpr double MinStallMs = 20.0;
/// Expected wait for a stalled server: half of a typical pause of 120 to 150 ms.
constexpr double StallPenaltyMs = 70.0;
/// Cost of a failed attempt: the time to detect it and retry elsewhere.
constexpr double ErrorPenaltyMs = 200.0;
/// Large enough that avoided servers are used only when no other is left.
constexpr double AvoidPenaltyMs = 10'000.0;
/// Approximate service times during warm-up, relative to normal.
constexpr double ColdFactor = 1.6;
/// Load changes within tens of milliseconds, so older reports are ignored.
constexpr Base::Duration MaxLoadReportAge = Base::milliseconds(150);
/// Waiting attempts per slot from which on a server's queue counts as long.
constexpr std::uint32_t LongQueuePerSlot = 2;
/// Estimates are randomly increased by up to this fraction, to spread work over equal servers.
constexpr double TieSpread = 0.15;
/// Fixed part of what a server in another data centre must gain: the round trip there, and the price of the
/// bytes.
constexpr double OtherDataCentreMs = 5.0;
/// Fraction of the latency target that may be spent to keep traffic within the data centre. Targets are
/// several times the usual latency, so a second attempt still fits.
constexpr double OtherDataCentreShare = 0.25;
/// Weight of one attempt in the moving averages.
constexpr double SlownessWeight = 0.15;
constexpr double ErrorWeight = 0.25;
/// Half-life of the error rate, so that a server that has recovered gets work again.
constexpr double ErrorHalfLifeMs = 2500.0;
/// Half-life of a server's slowness without new samples. A server that gets no work produces no samples that
/// could show its recovery from a pause or slow phase.
constexpr double SlownessHalfLifeMs = 2000.0;
/// The same for its long-term speed: much longer than a slow phase, and short enough that a server that has
/// become faster meanwhile is tried again.
constexpr double HistoryHalfLifeMs = 20'000.0;
constexpr double HistoryWeight = 0.02;
constexpr double MinHistoricSlowness = 0.5;
constexpr double MaxHistoricSlowness = 2.0;
/// A learned limit is logged when it has changed by this factor.
constexpr std::uint32_t ReportedLimitFactor = 2;
/// Bounds of the exponential backoff after consecutive failures.
constexpr Base::Duration MinAvoidance = Base::milliseconds(250);
constexpr Base::Duration MaxAvoidance = Base::seconds(2);
/// Pause after an answer of another server; doubled up to four times. Terminated servers stay listed for
/// seconds.
constexpr Base::Duration MinMisdirection = Base::seconds(5);
/// A single lost connection may be chance; two in a row indicate a fault.
constexpr std::uint32_t FailuresBeforeAvoidance = 2;

bool hasFreshLoad(Base::Instant now, const Backend &backend)
{
    return backend.loadKnown && now - backend.loadAt < MaxLoadReportAge;
}

/// Whether the server has reported within the last moments that its queue is long.
bool reportsLongQueue(Base::Instant now, const Backend &backend)
{
    return hasFreshLoad(now, backend)
           && backend.load.waiting >= LongQueuePerSlot * std::max(1U, backend.record.slots);
}

std::uint32_t slotLimit(const Backend &backend, std::uint32_t connectionShare)
{
    return std::min(connectionShare, std::max(MinOpenAttempts, backend.record.slots));
}

/// Maximum number of attempts that this gateway keeps open at one server. When callers return together after
/// an outage, there is more work than the servers can run at once. Beyond the slots it would wait in the FIFO
/// queues of the servers; queued in the gateway, it is dispatched by urgency. All gateways together can
/// exceed the slots many times over, so each sends only one attempt at a time to a server with a long queue,
/// or to one whose pause has ended.
std::uint32_t attemptLimit(Base::Instant now, const Backend &backend, std::uint32_t connectionShare)
{
    if (backend.resuming || reportsLongQueue(now, backend))
        return 1;
    const auto ceiling = slotLimit(backend, connectionShare);
    return backend.history ? backend.history->concurrency.limit(ceiling) : ceiling;
}

bool hasRoom(Base::Instant now, const Backend &backend, std::uint32_t connectionShare)
{
    const auto &open = backend.openSince;
    // Attempts open for longer hang: they hold a connection, but may no longer hold a slot.
    const auto recent = std::count_if(open.begin(), open.end(), [now](const Base::Instant since) {
        return now - since < BackendTable::MinSilence;
    });
    return open.size() < connectionShare && recent < attemptLimit(now, backend, connectionShare);
}

double decayedErrorRate(Base::Instant now, const Backend &backend)
{
    const auto age = std::max(0.0, Base::toMilliseconds(now - backend.errorRateAt));
    return backend.errorRate * std::exp2(-age / ErrorHalfLifeMs);
}

/// The speed that a server returns to without new samples: its own, where it is learned.
double steadySlowness(Base::Instant now, const Backend &backend)
{
    if (!backend.history)
        return 1.0;
    const auto age = std::max(0.0, Base::toMilliseconds(now - backend.history->slownessAt));
    return 1.0 + (backend.history->slowness - 1.0) * std::exp2(-age / HistoryHalfLifeMs);
}

double decayedSlowness(Base::Instant now, const Backend &backend)
{
    const auto age = std::max(0.0, Base::toMilliseconds(now - backend.slownessAt));
    const auto steady = steadySlowness(now, backend);
    return steady + (backend.slowness - steady) * std::exp2(-age / SlownessHalfLifeMs);
}

/// Whether a server with these goes before another one.
bool goesBefore(Availability availability, double cost, Availability otherAvailability, double otherCost)
{
    return availability != otherAvailability ? availability > otherAvailability : cost < otherCost;
}

/// `spread` is in [0, 1).
double spreadCost(double costMs, double distanceMs, double spread)
{
    return costMs * (1.0 + TieSpread * spread) + distanceMs;
}

void addErrorSample(Base::Instant now, Backend &backend, double sample)
{
    const auto rate = decayedErrorRate(now, backend);
    backend.errorRate = rate + ErrorWeight * (sample - rate);
    backend.errorRateAt = now;
}

} // namespace

void BackendTable::update(Base::Instant now, const Wire::ServerList &list)
{
    readAt_ = now - Base::milliseconds(list.ageMs);
    for (const auto &[identity, backend] : backends_)
        ++backend->absentReads;
    for (const auto &record : list.servers) {
        const Identity identity {record.id, record.bornAt};
        auto &backend = backends_[identity];
        if (!backend)
            backend = takeRemoved(now, identity);
        if (!backend)
            backend.reset(new Backend);
        // A server with another address or service is a different one, even with the same id.
        else if (backend->record.address != record.address || backend->record.service != record.service) {
            backend->listed = false;
            backend.reset(new Backend);
        }
        const bool isNew = backend->record.id.empty();
        if (isNew || !backend->listed)
            backend->firstListedAt = now;
        backend->record = record;
        backend->listed = true;
        backend->evacuated = evacuated_.contains(record.dataCentre);
        backend->absentReads = 0;
        backend->warmAt = readAt_ + Base::milliseconds(record.warmUpLeftMs);
        noteCold(now, backend);
    }
    loaded_ = true;
    removeAbsent(now);
}

/// Returns null if no server of this identity was removed lately.
BackendPointer BackendTable::takeRemoved(Base::Instant now, const Identity &identity)
{
    const auto found = removed_.find(identity);
    if (found == removed_.end())
        return nullptr;
    const auto removed = std::move(found->second);
    removed_.erase(found);
    if (now >= removed.forgetAt)
        return nullptr;
    // One without a start time may have left and been started anew.
    if (identity.second == 0)
        removed.backend->lastUse.reset();
    return removed.backend;
}

void BackendTable::confirm(Base::Instant now, Base::Instant readAt)
{
    if (readAt - readAt_ < MinReadDistance)
        return;
    readAt_ = readAt;
    bool lacksServers = false;
    for (const auto &[identity, backend] : backends_) {
        if (backend->absentReads == 0)
            continue;
        ++backend->absentReads;
        lacksServers = true;
    }
    if (lacksServers)
        removeAbsent(now);
}

void BackendTable::removeAbsent(Base::Instant now)
{
    std::erase_if(removed_, [now](const auto &entry) { return now >= entry.second.forgetAt; });
    std::erase_if(backends_, [&](const auto &entry) {
        const auto &[identity, backend] = entry;
        if (backend->absentReads < AbsentReadsBeforeRemoval)
            return false;
        backend->listed = false;
        removed_[identity] = {backend, std::max(now, backend->pausedUntil) + RemovedMemory};
        return true;
    });
    std::erase_if(cold_, [](const BackendPointer &backend) {
        if (!backend->listed)
            backend->notedCold = false;
        return !backend->listed;
    });
    countEvacuated();
    findDisplaced();
    index();
}

void BackendTable::setServices(std::set<std::string, std::less<>> services)
{
    services_ = std::move(services);
    findDisplaced();
}

void BackendTable::setEvacuated(Base::Instant now, std::set<std::string, std::less<>> dataCentres)
{
    evacuated_ = std::move(dataCentres);
    for (const auto &[identity, backend] : backends_) {
        const bool evacuated = evacuated_.contains(backend->record.dataCentre);
        if (std::exchange(backend->evacuated, evacuated) && !evacuated)
            backend->presumedColdUntil = now + PresumedColdTime;
        noteCold(now, backend);
    }
    countEvacuated();
}

void BackendTable::countEvacuated()
{
    evacuatedCount_ = evacuated_.empty() ? 0
                                         : static_cast<std::size_t>(std::count_if(
                                             backends_.begin(), backends_.end(),
                                             [](const auto &entry) { return entry.second->evacuated; }));
}

/// Follows from the present list alone, so that it ends with the entry that causes it.
void BackendTable::findDisplaced()
{
    std::unordered_map<std::string_view, std::vector<Backend *>> byAddress;
    for (const auto &[identity, backend] : backends_)
        byAddress[backend->record.address].push_back(backend.get());
    for (const auto &[address, sharing] : byAddress) {
        for (auto *backend : sharing)
            backend->displaced = std::any_of(sharing.begin(), sharing.end(), [&](const Backend *other) {
                return displaces(*other, *backend);
            });
    }
}

bool BackendTable::displaces(const Backend &newer, const Backend &older) const
{
    // Servers that first appear in the same read can be ordered only by their start times.
    const bool isNewer = older.firstListedAt < newer.firstListedAt
                         || (older.record.bornAt != 0 && older.record.bornAt < newer.record.bornAt);
    return &newer != &older && isNewer && newer.absentReads == 0 && services_.contains(newer.record.service);
}

void BackendTable::index()
{
    byService_.clear();
    for (const auto &[identity, backend] : backends_)
        byService_[backend->record.service].push_back(backend);
}

std::span<const BackendPointer> BackendTable::serversOf(std::string_view service) const
{
    const auto found = byService_.find(std::string(service));
    return found == byService_.end() ? std::span<const BackendPointer>() : found->second;
}

std::size_t BackendTable::eligibleCount(Base::Instant now, std::string_view service) const
{
    const auto servers = serversOf(service);
    return static_cast<std::size_t>(std::count_if(
        servers.begin(), servers.end(), [now](const auto &backend) { return backend->acceptsWork(now); }));
}

bool BackendTable::hasUntried(Base::Instant now, std::string_view service,
                              std::span<const BackendPointer> tried) const
{
    const auto servers = serversOf(service);
    return std::any_of(servers.begin(), servers.end(), [&](const auto &backend) {
        return backend->acceptsWork(now) && std::find(tried.begin(), tried.end(), backend) == tried.end();
    });
}

void BackendTable::setColdLimits(std::map<std::string, double, std::less<>> limits, ColdUnits *units)
{
    coldLimits_ = std::move(limits);
    coldUnits_ = units;
}

std::optional<double> BackendTable::coldLimit(Base::Instant now, const Backend &backend) const
{
    if (coldUnits_ == nullptr || coldLimits_.empty() || !backend.isCold(now))
        return std::nullopt;
    const auto limit = coldLimits_.find(backend.record.service);
    return limit == coldLimits_.end() ? std::nullopt : std::optional(limit->second);
}

void BackendTable::giveBackUnit(Base::Instant now, const Backend &backend,
                                std::optional<Base::Instant> validUntil)
{
    if (validUntil && coldUnits_ != nullptr)
        coldUnits_->giveBack(now, backend, *validUntil);
}

void BackendTable::noteCold(Base::Instant now, const BackendPointer &backend)
{
    if (backend->isCold(now) && !std::exchange(backend->notedCold, true))
        cold_.push_back(backend);
}

std::size_t BackendTable::coldCount(Base::Instant now)
{
    std::erase_if(cold_, [now](const BackendPointer &backend) {
        backend->notedCold = backend->isCold(now);
        return !backend->notedCold;
    });
    return cold_.size();
}

BackendPointer BackendTable::choose(Base::Instant now, std::string_view service,
                                    std::span<const BackendPointer> excluded, std::uint32_t connectionShare,
                                    Base::Duration meanLatency, Base::Duration latencyTarget)
{
    auto chosen = best(now, service, excluded, connectionShare, meanLatency, latencyTarget);
    // Load pattern: a data centre comes back with all of its servers cold, and each would break down under
    // its usual share of the requests.
    std::vector<BackendPointer> passedOver;
    while (chosen && coldLimit(now, *chosen)) {
        chosen->unitValidUntil = coldUnits_->take(now, *chosen);
        if (chosen->unitValidUntil)
            return chosen;
        if (passedOver.empty())
            passedOver.assign(excluded.begin(), excluded.end());
        passedOver.push_back(chosen);
        chosen = best(now, service, passedOver, connectionShare, meanLatency, latencyTarget);
    }
    if (chosen)
        chosen->unitValidUntil.reset();
    return chosen;
}

BackendPointer BackendTable::best(Base::Instant now, std::string_view service,
                                  std::span<const BackendPointer> excluded, std::uint32_t connectionShare,
                                  Base::Duration meanLatency, Base::Duration latencyTarget)
{
    BackendPointer found;
    double bestEstimate = 0.0;
    auto bestAvailability = Availability::None;
    for (const auto &backend : serversOf(service)) {
        const auto availability = backend->availability(now);
        if (availability == Availability::None || availability < bestAvailability
            || !hasRoom(now, *backend, connectionShare)
            || std::find(excluded.begin(), excluded.end(), backend) != excluded.end())
            continue;
        const auto estimate = spreadCost(placementCostMs(now, *backend, meanLatency),
                                         distanceMs(*backend, latencyTarget), random_.unit());
        if (!found || goesBefore(availability, estimate, bestAvailability, bestEstimate)) {
            found = backend;
            bestEstimate = estimate;
            bestAvailability = availability;
        }
    }
    return found;
}

double BackendTable::distanceMs(const Backend &backend, Base::Duration latencyTarget) const
{
    return backend.record.dataCentre == dataCentre_
               ? 0.0
               : OtherDataCentreMs + OtherDataCentreShare * Base::toMilliseconds(latencyTarget);
}

ServerStanding BackendTable::standingOf(Base::Instant now, const BackendPointer &backend,
                                        std::uint32_t connectionShare, Base::Duration meanLatency,
                                        Base::Duration latencyTarget) const
{
    ServerStanding standing;
    standing.server = backend;
    standing.availability = backend->availability(now);
    standing.latencyMs = latencyEstimateMs(now, *backend, meanLatency);
    standing.distanceMs = distanceMs(*backend, latencyTarget);
    standing.costMs = spreadCost(placementCostMs(now, *backend, meanLatency), standing.distanceMs, 0.0);
    standing.slowness = decayedSlowness(now, *backend);
    standing.errorRate = decayedErrorRate(now, *backend);
    standing.open = static_cast<std::uint32_t>(backend->openSince.size());
    standing.limit = attemptLimit(now, *backend, connectionShare);
    standing.slotLimit = slotLimit(*backend, connectionShare);
    standing.isLimitLearned =
        backend->history && backend->history->concurrency.limit(standing.slotLimit) < standing.slotLimit;
    standing.reportsLongQueue = reportsLongQueue(now, *backend);
    if (hasFreshLoad(now, *backend))
        standing.load = backend->load;
    standing.isStalled = isStalled(now, *backend, meanLatency);
    standing.isCold = backend->isCold(now);
    standing.coldPerSecond = coldLimit(now, *backend);
    standing.isResuming = backend->resuming && now >= backend->pausedUntil;
    standing.pausedFor = std::max(Base::Duration::zero(), backend->pausedUntil - now);
    standing.avoidedFor = std::max(Base::Duration::zero(), backend->avoidUntil - now);
    if (backend->lastUse)
        standing.leavesIn = *backend->lastUse - now;
    standing.obstacle = backend->obstacleAfterPause(now);
    if (standing.obstacle == Obstacle::None && standing.availability == Availability::None)
        standing.obstacle = Obstacle::Paused;
    if (standing.obstacle == Obstacle::None && !hasRoom(now, *backend, connectionShare))
        standing.obstacle = Obstacle::Full;
    if (standing.obstacle == Obstacle::None && standing.coldPerSecond && !coldUnits_->has(now, *backend))
        standing.obstacle = Obstacle::NoUnit;
    return standing;
}

std::vector<ServerStanding> BackendTable::standings(Base::Instant now, std::string_view service,
                                                    std::uint32_t connectionShare, Base::Duration meanLatency,
                                                    Base::Duration latencyTarget) const
{
    std::vector<ServerStanding> all;
    for (const auto &backend : serversOf(service))
        all.push_back(standingOf(now, backend, connectionShare, meanLatency, latencyTarget));
    std::stable_sort(all.begin(), all.end(), [](const ServerStanding &left, const ServerStanding &right) {
        const auto isFree = [](const ServerStanding &one) { return one.obstacle == Obstacle::None; };
        return isFree(left) != isFree(right)
                   ? isFree(left)
                   : goesBefore(left.availability, left.costMs, right.availability, right.costMs);
    });
    double mostOfBest = std::numeric_limits<double>::max();
    for (auto &standing : all) {
        if (standing.obstacle != Obstacle::None || standing.availability != all.front().availability)
            break;
        mostOfBest =
            std::min(mostOfBest, spreadCost(standing.costMs - standing.distanceMs, standing.distanceMs, 1.0));
        standing.mayBeChosen = standing.costMs <= mostOfBest;
    }
    return all;
}

double BackendTable::latencyEstimateMs(Base::Instant now, const Backend &backend, Base::Duration meanLatency)
{
    const auto mean = Base::toMilliseconds(meanLatency) * decayedSlowness(now, backend);
    const auto loadAge = now - backend.loadAt;
    const bool loadIsFresh = hasFreshLoad(now, backend);
    const double own = static_cast<double>(backend.openSince.size());
    // The reported work completes over time; it is assumed to halve with every mean latency.
    const double reported = static_cast<double>(backend.load.running + backend.load.waiting)
                            * std::exp2(-Base::toMilliseconds(loadAge) / std::max(0.1, mean));
    const double work = loadIsFresh ? std::max(own, reported) : own;
    const double slots = std::max(1U, backend.record.slots);
    auto estimate = mean * (1.0 + std::max(0.0, work + 1.0 - slots) / slots);
    if (loadIsFresh)
        estimate *= std::max(1.0, backend.load.slowdown);
    if (backend.isCold(now))
        estimate *= ColdFactor;
    return estimate;
}

bool BackendTable::isStalled(Base::Instant now, const Backend &backend, Base::Duration meanLatency)
{
    if (backend.openSince.empty())
        return false;
    const auto openFor = Base::toMilliseconds(now - backend.openSince.front());
    const auto mean = Base::toMilliseconds(meanLatency) * decayedSlowness(now, backend);
    return openFor > std::max(MinStallMs, StallFactor * mean);
}

double BackendTable::attemptsPerMillisecond(Base::Instant now, std::string_view service,
                                            std::uint32_t connectionShare, Base::Duration meanLatency) const
{
    double rate = 0.0;
    for (const auto &backend : serversOf(service)) {
        if (backend->acceptsWork(now) && now >= backend->avoidUntil && !isStalled(now, *backend, meanLatency))
            rate += std::min(attemptLimit(now, *backend, connectionShare)
                                 / std::max(0.1, latencyEstimateMs(now, *backend, meanLatency)),
                             coldLimit(now, *backend).value_or(std::numeric_limits<double>::max()) / 1000.0);
    }
    return rate;
}

double BackendTable::placementCostMs(Base::Instant now, const Backend &backend, Base::Duration meanLatency)
{
    auto estimate = latencyEstimateMs(now, backend, meanLatency);
    if (isStalled(now, backend, meanLatency))
        estimate += StallPenaltyMs;
    estimate += ErrorPenaltyMs * decayedErrorRate(now, backend);
    if (now < backend.avoidUntil)
        estimate += AvoidPenaltyMs;
    return estimate;
}

std::optional<Base::Instant> BackendTable::resumesAt(Base::Instant now, std::string_view service) const
{
    std::optional<Base::Instant> earliest;
    for (const auto &backend : serversOf(service)) {
        const auto end = backend->pausedUntil;
        if (now < end && backend->availabilityAfterPause(end) != Availability::None)
            earliest = std::min(earliest.value_or(end), end);
    }
    return earliest;
}

bool BackendTable::isSilent(Base::Instant now, std::string_view service, Base::Duration silence) const
{
    bool silent = false;
    for (const auto &backend : serversOf(service)) {
        if (!backend->acceptsWork(now))
            continue;
        if (backend->unansweredSince == Base::Instant::max() || now - backend->unansweredSince < silence)
            return false;
        silent = true;
    }
    return silent;
}

void BackendTable::recordSent(Backend &backend, Base::Instant now)
{
    backend.unansweredSince = std::min(backend.unansweredSince, now);
    backend.openSince.push_back(now);
}

void BackendTable::recordEnded(Backend &backend, Base::Instant sentAt)
{
    const auto open = std::find(backend.openSince.begin(), backend.openSince.end(), sentAt);
    if (open != backend.openSince.end())
        backend.openSince.erase(open);
}

void BackendTable::recordResponse(Base::Instant now, Backend &backend)
{
    backend.unansweredSince = backend.openSince.empty() ? Base::Instant::max() : now;
}

void BackendTable::recordAbandoned(Base::Instant now, Backend &backend, Base::Duration silence)
{
    if (now - backend.unansweredSince >= silence)
        recordUnreachable(now, backend);
    else if (backend.openSince.empty())
        backend.unansweredSince = Base::Instant::max();
}

void BackendTable::recordSuccess(Base::Instant now, Backend &backend, Base::Duration latency,
                                 Base::Duration meanLatency)
{
    const auto mean = std::max(0.1, Base::toMilliseconds(meanLatency));
    const auto ratio = std::clamp(Base::toMilliseconds(latency) / mean, 0.2, 10.0);
    const auto slowness = decayedSlowness(now, backend);
    backend.slowness = slowness + SlownessWeight * (ratio - slowness);
    backend.slownessAt = now;
    backend.consecutiveFailures = 0;
    backend.misdirections = 0;
    backend.misdirectedUntil.reset();
    backend.avoidUntil = now;
    // A reply to a request that was sent before the pause does not end it.
    backend.resuming = now < backend.pausedUntil;
    addErrorSample(now, backend, 0.0);
}

void BackendTable::recordError(Base::Instant now, Backend &backend)
{
    backend.consecutiveFailures = 0;
    addErrorSample(now, backend, 1.0);
}

void BackendTable::recordUnreachable(Base::Instant now, Backend &backend)
{
    addErrorSample(now, backend, 1.0);
    ++backend.consecutiveFailures;
    if (backend.consecutiveFailures < FailuresBeforeAvoidance)
        return;
    const auto doublings = std::min(backend.consecutiveFailures - FailuresBeforeAvoidance, 4U);
    backend.avoidUntil = now + std::min(MaxAvoidance, MinAvoidance * (1 << doublings));
}

void BackendTable::markMisdirected(Base::Instant now, Backend &backend)
{
    const auto doublings = std::min(backend.misdirections++, 4U);
    backend.misdirectedUntil = now + MinMisdirection * (1 << doublings);
}

void BackendTable::recordWarmUp(Base::Instant now, const BackendPointer &backend, Base::Duration timeLeft)
{
    backend->reportedColdUntil = now + timeLeft;
    // Its own figure is newer than the list and than a guess.
    backend->presumedColdUntil = std::min(backend->presumedColdUntil, now + timeLeft);
    // A late response may come from a server that is no longer held.
    if (backend->listed)
        noteCold(now, backend);
}

bool BackendTable::markLeaving(Base::Instant now, Backend &backend, Base::Duration useTime)
{
    if (backend.lastUse)
        return false;
    backend.lastUse = now + useTime;
    return true;
}

void BackendTable::markPaused(Base::Instant now, Backend &backend, Base::Duration duration)
{
    backend.pausedUntil = std::max(backend.pausedUntil, now + std::min(duration, MaxPause));
    backend.resuming = true;
}

bool BackendTable::learn(Base::Instant now, Backend &backend, Base::Duration latency,
                         Base::Duration usualLatency, Base::Duration meanLatency,
                         std::uint32_t connectionShare)
{
    // A server that warms up is slow whatever it gets.
    if (now < backend.warmAt)
        return false;
    const auto ceiling = slotLimit(backend, connectionShare);
    if (!backend.history) {
        backend.history.reset(new ServerHistory);
        backend.history->reportedLimit = ceiling;
    }
    auto &history = *backend.history;
    const auto ms = Base::toMilliseconds(latency);
    const auto ratio = std::clamp(ms / std::max(0.1, Base::toMilliseconds(meanLatency)), MinHistoricSlowness,
                                  MaxHistoricSlowness);
    const auto steady = steadySlowness(now, backend);
    history.slowness = steady + HistoryWeight * (ratio - steady);
    history.slownessAt = now;
    history.concurrency.record(now, ms / std::max(0.1, Base::toMilliseconds(usualLatency)),
                               static_cast<std::uint32_t>(backend.openSince.size()) + 1, ceiling);
    const auto limit = history.concurrency.limit(ceiling);
    if (limit * ReportedLimitFactor > history.reportedLimit
        && limit < history.reportedLimit * ReportedLimitFactor)
        return false;
    history.reportedLimit = limit;
    return true;
}

void BackendTable::forgetHistories()
{
    for (const auto &[identity, backend] : backends_)
        backend->history.reset();
}

std::size_t BackendTable::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(backends_.begin(), backends_.end(), [](const auto &entry) {
        const auto &backend = *entry.second;
        const auto ceiling = slotLimit(backend, std::numeric_limits<std::uint32_t>::max());
        return backend.history && backend.history->concurrency.limit(ceiling) < ceiling;
    }));
}

void BackendTable::recordLoad(Base::Instant now, Backend &backend, const Adapter::ServerLoad &load)
{
    backend.load = load;
    backend.loadAt = now;
    backend.loadKnown = true;
}

} // namespace Forward
