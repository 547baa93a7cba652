#include "LibForward/BackendTable.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Forward {

namespace {

/// Reads of the list in a row that must lack a server before it is given up.
constexpr std::uint32_t AbsentReadsUntilGone = 2;
/// Attempts open at a server whose number of slots is not known or 1: one runs and the next is on its way.
constexpr std::uint32_t MinAttempts = 2;
/// An attempt open for this many times the expected latency shows a stall.
constexpr double StallFactor = 3.0;
/// A stall is not assumed earlier, because short services vary by more than their mean.
constexpr double MinStallMs = 20.0;
/// Half of a typical pause (120 to 150 ms): what an attempt on a stalled server is expected to wait.
constexpr double StallPenaltyMs = 70.0;
/// Cost of a failed attempt: noticing it and starting again elsewhere.
constexpr double ErrorPenaltyMs = 200.0;
/// Servers that are avoided are used only when no other is left.
constexpr double AvoidPenaltyMs = 10'000.0;
/// Slow start multiplies service times by about this.
constexpr double ColdFactor = 1.6;
/// Load reports change within tens of milliseconds; older ones say nothing.
constexpr Base::Duration LoadReportAge = Base::milliseconds(150);
/// Equal servers share the work when their estimates are drawn apart by up to this fraction.
constexpr double TieSpread = 0.15;
/// Round trip to another data centre of the region.
constexpr double OtherDataCentreMs = 2.0;
/// Fraction of the latency target that may be spent to keep bytes within the data centre. Targets are several
/// times the usual latency, and a second attempt still fits.
constexpr double OtherDataCentreShare = 0.08;
/// Weight of one attempt in the moving averages.
constexpr double SlownessWeight = 0.15;
constexpr double ErrorWeight = 0.25;
/// Errors are forgotten by half in this time, so that a server that recovered gets work again.
constexpr double ErrorHalfLifeMs = 2500.0;
/// What a server's latency said fades by half in this time without a new sample: pauses and slow phases pass,
/// and a server that gets no work could not show that it has recovered.
constexpr double SlownessHalfLifeMs = 2000.0;
/// First and longest time without work after failures in a row.
constexpr Base::Duration MinAvoidance = Base::milliseconds(250);
constexpr Base::Duration MaxAvoidance = Base::seconds(2);
/// One lost connection may be chance; two in a row are a pattern.
constexpr std::uint32_t FailuresUntilAvoided = 2;

/// Attempts that this gateway keeps open at one server. Load pattern: callers return together after an
/// outage, and more work than the servers can run at once would wait in their queues, first come, first
/// served. What waits here instead goes by urgency.
std::uint32_t attemptLimit(const Backend &backend, std::uint32_t connectionShare)
{
    return std::min(connectionShare, std::max(MinAttempts, backend.record.slots));
}

bool hasRoom(Base::Instant now, const Backend &backend, std::uint32_t connectionShare)
{
    const auto &open = backend.openSince;
    // What has been open for longer hangs; it holds a connection, but perhaps no slot any more.
    const auto recent = std::count_if(open.begin(), open.end(), [now](const Base::Instant since) {
        return now - since < BackendTable::MinSilence;
    });
    return open.size() < connectionShare && recent < attemptLimit(backend, connectionShare);
}

double decayedErrorRate(Base::Instant now, const Backend &backend)
{
    const auto age = std::max(0.0, Base::toMilliseconds(now - backend.errorRateAt));
    return backend.errorRate * std::exp2(-age / ErrorHalfLifeMs);
}

double decayedSlowness(Base::Instant now, const Backend &backend)
{
    const auto age = std::max(0.0, Base::toMilliseconds(now - backend.slownessAt));
    return 1.0 + (backend.slowness - 1.0) * std::exp2(-age / SlownessHalfLifeMs);
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
    const auto readAt = now - Base::milliseconds(list.ageMs);
    std::set<Identity> present;
    for (const auto &record : list.servers) {
        const Identity identity {record.id, record.bornAt};
        present.insert(identity);
        auto &backend = backends_[identity];
        if (!backend)
            backend.reset(new Backend);
        // A server that changed its address or service is another one, whatever its id says.
        else if (backend->record.address != record.address || backend->record.service != record.service) {
            backend->listed = false;
            backend.reset(new Backend);
        }
        const bool isNewcomer = backend->record.id.empty();
        backend->record = record;
        backend->listed = true;
        if (isNewcomer) {
            backend->firstListedAt = now;
            displaceOlder(*backend);
        }
        backend->absentReads = 0;
        backend->warmAt = readAt + Base::milliseconds(record.warmUpLeftMs);
    }
    for (auto next = backends_.begin(); next != backends_.end();) {
        auto &backend = *next->second;
        const bool gone =
            present.find(next->first) == present.end() && ++backend.absentReads >= AbsentReadsUntilGone;
        if (gone)
            backend.listed = false;
        next = gone ? backends_.erase(next) : std::next(next);
    }
    loaded_ = true;
    index();
}

void BackendTable::displaceOlder(const Backend &newcomer)
{
    for (auto &[identity, backend] : backends_) {
        // Which of two servers that appear in the same read is the older one, only their starts can tell.
        const bool older =
            backend->firstListedAt < newcomer.firstListedAt
            || (backend->record.bornAt != 0 && backend->record.bornAt < newcomer.record.bornAt);
        if (backend.get() != &newcomer && backend->record.address == newcomer.record.address && older)
            noteDisplaced(*backend);
    }
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

std::size_t BackendTable::eligibleCount(std::string_view service) const
{
    const auto servers = serversOf(service);
    return static_cast<std::size_t>(std::count_if(
        servers.begin(), servers.end(), [](const auto &backend) { return backend->acceptsWork(); }));
}

BackendPointer BackendTable::choose(Base::Instant now, std::string_view service,
                                    std::span<const BackendPointer> excluded, std::uint32_t connectionShare,
                                    Base::Duration meanLatency, Base::Duration latencyTarget)
{
    BackendPointer best;
    double bestEstimate = 0.0;
    for (const auto &backend : serversOf(service)) {
        if (!backend->acceptsWork() || !hasRoom(now, *backend, connectionShare)
            || std::find(excluded.begin(), excluded.end(), backend) != excluded.end())
            continue;
        const auto distance =
            backend->record.dataCentre == dataCentre_
                ? 0.0
                : OtherDataCentreMs + OtherDataCentreShare * Base::toMilliseconds(latencyTarget);
        const auto estimate =
            expectedMilliseconds(now, *backend, meanLatency) * (1.0 + TieSpread * random_.unit()) + distance;
        if (!best || estimate < bestEstimate) {
            best = backend;
            bestEstimate = estimate;
        }
    }
    return best;
}

double BackendTable::usualMilliseconds(Base::Instant now, const Backend &backend, Base::Duration meanLatency)
{
    const auto mean = Base::toMilliseconds(meanLatency) * decayedSlowness(now, backend);
    const auto loadAge = now - backend.loadAt;
    const bool loadIsFresh = backend.loadKnown && loadAge < LoadReportAge;
    const double own = static_cast<double>(backend.openSince.size());
    // What a server reported as running and waiting ends at about the rate of its service times.
    const double reported = static_cast<double>(backend.load.running + backend.load.waiting)
                            * std::exp2(-Base::toMilliseconds(loadAge) / std::max(0.1, mean));
    const double work = loadIsFresh ? std::max(own, reported) : own;
    const double slots = std::max(1U, backend.record.slots);
    auto estimate = mean * (1.0 + std::max(0.0, work + 1.0 - slots) / slots);
    if (loadIsFresh)
        estimate *= std::max(1.0, backend.load.slowdown);
    if (now < backend.warmAt)
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
        if (backend->acceptsWork() && now >= backend->avoidUntil && !isStalled(now, *backend, meanLatency))
            rate += attemptLimit(*backend, connectionShare)
                    / std::max(0.1, usualMilliseconds(now, *backend, meanLatency));
    }
    return rate;
}

double BackendTable::expectedMilliseconds(Base::Instant now, const Backend &backend,
                                          Base::Duration meanLatency)
{
    auto estimate = usualMilliseconds(now, backend, meanLatency);
    if (isStalled(now, backend, meanLatency))
        estimate += StallPenaltyMs;
    estimate += ErrorPenaltyMs * decayedErrorRate(now, backend);
    if (now < backend.avoidUntil)
        estimate += AvoidPenaltyMs;
    return estimate;
}

bool BackendTable::isSilent(Base::Instant now, std::string_view service, Base::Duration silence) const
{
    bool silent = false;
    for (const auto &backend : serversOf(service)) {
        if (!backend->acceptsWork())
            continue;
        if (backend->unansweredSince == Base::Instant::max() || now - backend->unansweredSince < silence)
            return false;
        silent = true;
    }
    return silent;
}

void BackendTable::noteSent(Backend &backend, Base::Instant now)
{
    backend.unansweredSince = std::min(backend.unansweredSince, now);
    backend.openSince.push_back(now);
}

void BackendTable::noteEnded(Backend &backend, Base::Instant sentAt)
{
    const auto open = std::find(backend.openSince.begin(), backend.openSince.end(), sentAt);
    if (open != backend.openSince.end())
        backend.openSince.erase(open);
}

void BackendTable::noteHeard(Base::Instant now, Backend &backend)
{
    backend.unansweredSince = backend.openSince.empty() ? Base::Instant::max() : now;
}

void BackendTable::noteGivenUp(Base::Instant now, Backend &backend, Base::Duration silence)
{
    if (now - backend.unansweredSince >= silence)
        noteUnreachable(now, backend);
    else if (backend.openSince.empty())
        backend.unansweredSince = Base::Instant::max();
}

void BackendTable::noteReply(Base::Instant now, Backend &backend, Base::Duration latency,
                             Base::Duration meanLatency)
{
    const auto mean = std::max(0.1, Base::toMilliseconds(meanLatency));
    const auto ratio = std::clamp(Base::toMilliseconds(latency) / mean, 0.2, 10.0);
    const auto slowness = decayedSlowness(now, backend);
    backend.slowness = slowness + SlownessWeight * (ratio - slowness);
    backend.slownessAt = now;
    backend.failuresInRow = 0;
    backend.avoidUntil = now;
    addErrorSample(now, backend, 0.0);
}

void BackendTable::noteError(Base::Instant now, Backend &backend)
{
    backend.failuresInRow = 0;
    addErrorSample(now, backend, 1.0);
}

void BackendTable::noteUnreachable(Base::Instant now, Backend &backend)
{
    addErrorSample(now, backend, 1.0);
    ++backend.failuresInRow;
    if (backend.failuresInRow < FailuresUntilAvoided)
        return;
    const auto doublings = std::min(backend.failuresInRow - FailuresUntilAvoided, 4U);
    backend.avoidUntil = now + std::min(MaxAvoidance, MinAvoidance * (1 << doublings));
}

void BackendTable::noteLoad(Base::Instant now, Backend &backend, const Adapter::ServerLoad &load)
{
    backend.load = load;
    backend.loadAt = now;
    backend.loadKnown = true;
}

} // namespace Forward
