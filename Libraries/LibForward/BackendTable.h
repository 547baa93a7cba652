#pragma once

#include "LibBase/RandomSource.h"
#include "LibForward/Backend.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Forward {

/// All backend servers by service, and the choice among those of one service. Performs no I/O.
class BackendTable
{
public:
    /// A server that has not answered for this long is gone rather than pausing (pauses last 120 to 150 ms)
    /// or slow.
    static constexpr Base::Duration MinSilence = Base::milliseconds(600);

    /// `dataCentre` is where this gateway runs; servers there are reached sooner.
    BackendTable(std::uint64_t seed, std::string dataCentre)
        : random_(seed)
        , dataCentre_(std::move(dataCentre))
    {
    }

    /// Takes over a new read of the platform's list. Servers that it lacks accept no more work once two reads
    /// in a row lack them, because a list that is read page by page may miss one that moved between pages.
    void update(Base::Instant now, const Wire::ServerList &list);

    /// Placing under load: returns the server of the service that is expected to answer first and has fewer
    /// than `connectionShare` attempts open, or null. Work goes round servers that stall (pause), fail part
    /// of their requests, are cold, or report a queue. A server in another data centre must answer sooner by
    /// a part of the latency target, because bytes between data centres cost money. Servers in `excluded` are
    /// left out.
    BackendPointer choose(Base::Instant now, std::string_view service,
                          std::span<const BackendPointer> excluded, std::uint32_t connectionShare,
                          Base::Duration meanLatency, Base::Duration latencyTarget);

    /// Number of servers that may take work.
    std::size_t eligibleCount(std::string_view service) const;
    /// True when the service has servers for work and none of them has been heard for `silence` although
    /// attempts were sent.
    bool isSilent(Base::Instant now, std::string_view service, Base::Duration silence) const;
    /// Attempts of this gateway that the service's servers finish in a millisecond at their present speed and
    /// load, with up to `connectionShare` at once on each. Servers that are avoided or stall count for
    /// nothing.
    double attemptsPerMillisecond(Base::Instant now, std::string_view service, std::uint32_t connectionShare,
                                  Base::Duration meanLatency) const;
    /// True once a list has been taken over.
    bool isLoaded() const { return loaded_; }
    std::size_t size() const { return backends_.size(); }

    static void noteSent(Backend &backend, Base::Instant now);
    static void noteEnded(Backend &backend, Base::Instant sentAt);
    /// The server answered or refused something, so it is there.
    static void noteHeard(Base::Instant now, Backend &backend);
    /// An attempt was given up without an answer; counts against the server when it had `silence` to answer.
    static void noteGivenUp(Base::Instant now, Backend &backend, Base::Duration silence);
    static void noteReply(Base::Instant now, Backend &backend, Base::Duration latency,
                          Base::Duration meanLatency);
    /// The server answered with an error or with bytes that make no sense.
    static void noteError(Base::Instant now, Backend &backend);
    /// The server could not be reached, or the connection ended without a reply.
    static void noteUnreachable(Base::Instant now, Backend &backend);
    /// Another server answered at its address. Platforms list a server that vanished for some seconds, and
    /// give its address away meanwhile; it gets no more work, whatever the list says.
    static void noteDisplaced(Backend &backend) { backend.displaced = true; }
    static void noteLoad(Base::Instant now, Backend &backend, const Adapter::ServerLoad &load);

    /// Time in milliseconds that the server's replies take at its speed and load.
    static double usualMilliseconds(Base::Instant now, const Backend &backend, Base::Duration meanLatency);
    /// The same with penalties for stalls and failures; the measure of choose().
    static double expectedMilliseconds(Base::Instant now, const Backend &backend, Base::Duration meanLatency);

private:
    static bool isStalled(Base::Instant now, const Backend &backend, Base::Duration meanLatency);

    using Identity = std::pair<std::string, std::int64_t>; ///< Id and start.

    std::span<const BackendPointer> serversOf(std::string_view service) const;
    void displaceOlder(const Backend &newcomer);
    void index();

    std::map<Identity, BackendPointer> backends_;
    std::unordered_map<std::string, std::vector<BackendPointer>> byService_;
    Base::RandomSource random_;
    std::string dataCentre_;
    bool loaded_ = false;
};

} // namespace Forward
