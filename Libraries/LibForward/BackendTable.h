#pragma once

#include "LibBase/RandomSource.h"
#include "LibForward/Backend.h"
#include "LibForward/ColdUnits.h"
#include "LibForward/ServerStanding.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Forward {

/// Holds the backend servers by service and selects one for each attempt. Performs no I/O.
class BackendTable
{
public:
    /// A server that has not answered for this long is considered gone rather than paused (120 to 150 ms) or
    /// slow.
    static constexpr Base::Duration MinSilence = Base::milliseconds(600);
    /// Longest pause that a server may ask for; a longer one is more likely an error than a wish.
    static constexpr Base::Duration MaxPause = Base::seconds(600);
    /// The platform's list is up to three seconds late, and is read each second.
    static constexpr Base::Duration PresumedColdTime = Base::seconds(4);

    /// `dataCentre` is where this gateway runs; servers there have a shorter round trip.
    BackendTable(std::uint64_t seed, std::string dataCentre)
        : random_(seed)
        , dataCentre_(std::move(dataCentre))
    {
    }

    /// Applies a new read of the platform's list. A server is removed once two consecutive reads lack it,
    /// because a list that is read page by page may miss one that moved between pages. One that is listed
    /// again later is the same: what it has asked for and announced holds on.
    void update(Base::Instant now, const Wire::ServerList &list);

    /// Applies a read at `readAt` that returned the same list as the one given to update() last.
    void confirm(Base::Instant now, Base::Instant readAt);

    /// Sets the services that the configuration in force names. An entry of another service names no server
    /// that could have taken over an address.
    void setServices(std::set<std::string, std::less<>> services);

    /// Bounds the attempts at cold servers of some services: `limits` has the rate per second that one such
    /// server tolerates, by service. Each attempt at it spends a unit of `units`, which must outlive the
    /// table; null sets no bound.
    void setColdLimits(std::map<std::string, double, std::less<>> limits, ColdUnits *units);
    /// Gives the unit of an attempt back that did not count at the server.
    void giveBackUnit(Base::Instant now, const Backend &backend, std::optional<Base::Instant> validUntil);
    /// Number of servers that are cold at `now`. Looks only at those that were cold at the last call or have
    /// been marked since.
    std::size_t coldCount(Base::Instant now);

    /// Sets the data centres whose servers get nothing. Those of one that is taken from the set count as cold
    /// for a while: they may have started anew or grown cold, and the list shows it later.
    void setEvacuated(Base::Instant now, std::set<std::string, std::less<>> dataCentres);

    /// Number of listed servers whose data centre is evacuated.
    std::size_t evacuatedCount() const { return evacuatedCount_; }

    /// Returns the server of the service that is expected to answer first, or null if none may take another
    /// attempt. Only servers with fewer than `connectionShare` open attempts, and fewer than they have slots
    /// (or two), or were found to take well, or none if they report a long queue, qualify; those in
    /// `excluded` do not. Servers that stall (pause), fail part of their requests, are warming up or report a
    /// queue are ranked lower, and those that have announced that they leave are used only if no other server
    /// qualifies. A server in another data centre must be faster by a fraction of the latency target, because
    /// traffic between data centres costs money. A cold server whose rate is bounded is chosen only if it
    /// spends a unit, which the attempt takes over from Backend::unitValidUntil.
    BackendPointer choose(Base::Instant now, std::string_view service,
                          std::span<const BackendPointer> excluded, std::uint32_t connectionShare,
                          Base::Duration meanLatency, Base::Duration latencyTarget);

    /// All servers of the service in the order in which choose() tries them, then those that it cannot
    /// choose. Spends no unit and changes nothing.
    std::vector<ServerStanding> standings(Base::Instant now, std::string_view service,
                                          std::uint32_t connectionShare, Base::Duration meanLatency,
                                          Base::Duration latencyTarget) const;

    /// Number of servers that accept work.
    std::size_t eligibleCount(Base::Instant now, std::string_view service) const;
    /// Whether a server that accepts work is not among `tried`.
    bool hasUntried(Base::Instant now, std::string_view service, std::span<const BackendPointer> tried) const;
    /// When the first paused server of the service accepts work again; empty if none is paused.
    std::optional<Base::Instant> resumesAt(Base::Instant now, std::string_view service) const;
    /// True if the service has servers that accept work, and attempts to each of them have gone unanswered
    /// for at least `silence`.
    bool isSilent(Base::Instant now, std::string_view service, Base::Duration silence) const;
    /// Estimated throughput for this gateway, in attempts per millisecond, with up to `connectionShare`
    /// concurrent attempts on each server of the service. Avoided and stalled servers are not counted.
    double attemptsPerMillisecond(Base::Instant now, std::string_view service, std::uint32_t connectionShare,
                                  Base::Duration meanLatency) const;
    /// True once update() has been called.
    bool isLoaded() const { return loaded_; }
    std::size_t size() const { return backends_.size(); }

    static void recordSent(Backend &backend, Base::Instant now);
    static void recordEnded(Backend &backend, Base::Instant sentAt);
    /// The server responded in any way, so it is alive.
    static void recordResponse(Base::Instant now, Backend &backend);
    /// An attempt was abandoned unanswered. Counts as a failure if the server has been silent for `silence`.
    static void recordAbandoned(Base::Instant now, Backend &backend, Base::Duration silence);
    static void recordSuccess(Base::Instant now, Backend &backend, Base::Duration latency,
                              Base::Duration meanLatency);
    /// The server answered with an error or a malformed response.
    static void recordError(Base::Instant now, Backend &backend);
    /// The server could not be reached, or the connection ended without a reply.
    static void recordUnreachable(Base::Instant now, Backend &backend);
    /// Another server answered at its address. The platform may list a terminated server for some seconds
    /// after reassigning its address, so it gets nothing for a while even though it is listed, and longer
    /// each time.
    static void markMisdirected(Base::Instant now, Backend &backend);
    /// The server stated in a response that it stays cold for `timeLeft`; zero if it is warm.
    void recordWarmUp(Base::Instant now, const BackendPointer &backend, Base::Duration timeLeft);
    /// The server announced in a response that it leaves. It may be used as a last resort for `useTime`, and
    /// gets nothing afterwards. Returns false if it had announced that before.
    static bool markLeaving(Base::Instant now, Backend &backend, Base::Duration useTime);
    /// The server has turned a request away and wants none from this gateway for `duration`, of which at most
    /// MaxPause counts. Afterwards it gets one attempt at a time until it has served one. A later pause may
    /// only end later.
    static void markPaused(Base::Instant now, Backend &backend, Base::Duration duration);
    /// Takes a successful reply into the server's history. `usualLatency` is that of the route with little
    /// work. Returns whether the learned limit has changed so much since the last such call that it is worth
    /// a log line.
    static bool learn(Base::Instant now, Backend &backend, Base::Duration latency,
                      Base::Duration usualLatency, Base::Duration meanLatency, std::uint32_t connectionShare);
    /// Drops what has been learned of all servers.
    void forgetHistories();
    /// Number of servers that have been found to take less than their slots.
    std::size_t limitedCount() const;
    static void recordLoad(Base::Instant now, Backend &backend, const Adapter::ServerLoad &load);

    /// Estimated latency of a new attempt at the server's present speed and load.
    static double latencyEstimateMs(Base::Instant now, const Backend &backend, Base::Duration meanLatency);
    /// latencyEstimateMs() plus penalties for stalls and failures; choose() minimises it.
    static double placementCostMs(Base::Instant now, const Backend &backend, Base::Duration meanLatency);

private:
    static bool isStalled(Base::Instant now, const Backend &backend, Base::Duration meanLatency);

    using Identity = std::pair<std::string, std::int64_t>; ///< Id and start time.

    BackendPointer best(Base::Instant now, std::string_view service, std::span<const BackendPointer> excluded,
                        std::uint32_t connectionShare, Base::Duration meanLatency,
                        Base::Duration latencyTarget);
    double distanceMs(const Backend &backend, Base::Duration latencyTarget) const;
    ServerStanding standingOf(Base::Instant now, const BackendPointer &backend, std::uint32_t connectionShare,
                              Base::Duration meanLatency, Base::Duration latencyTarget) const;
    /// Requests per second that the server tolerates from all gateways together; empty if it has no bound.
    std::optional<double> coldLimit(Base::Instant now, const Backend &backend) const;
    std::span<const BackendPointer> serversOf(std::string_view service) const;
    void noteCold(Base::Instant now, const BackendPointer &backend);
    void removeAbsent(Base::Instant now);
    BackendPointer takeRemoved(Base::Instant now, const Identity &identity);
    void countEvacuated();
    void findDisplaced();
    bool displaces(const Backend &newer, const Backend &older) const;
    void index();

    std::map<Identity, BackendPointer> backends_;
    struct Removed
    {
        BackendPointer backend;
        Base::Instant forgetAt;
    };
    std::map<Identity, Removed> removed_; ///< Servers that may be listed again.
    Base::Instant readAt_; ///< Of the latest list that counted for removals.
    std::unordered_map<std::string, std::vector<BackendPointer>> byService_;
    std::set<std::string, std::less<>> services_;
    std::set<std::string, std::less<>> evacuated_; ///< Data centres.
    std::size_t evacuatedCount_ = 0;
    std::vector<BackendPointer> cold_; ///< Those with Backend::notedCold.
    std::map<std::string, double, std::less<>> coldLimits_; ///< By service.
    ColdUnits *coldUnits_ = nullptr;
    Base::RandomSource random_;
    std::string dataCentre_;
    bool loaded_ = false;
};

} // namespace Forward
