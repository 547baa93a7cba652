#pragma once

#include "LibBase/Time.h"
#include "LibWire/Directory.h"
#include "LibWire/SubrequestMessages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Query {

/// Row number of a backend server in ServerTable; stays valid for the life of the process.
using ServerKey = std::uint32_t;

/// Whether this process may send sub-requests to a server.
enum class Eligibility : std::uint8_t {
    Ready,
    ProbeDue, ///< Ejected, and one sub-request may probe it now.
    LastResort, ///< Ejected, or its owner does not report; used only when no other replica is left.
    Unusable ///< Never observed, unreachable, draining, leaving or without owner.
};

/// One backend server as this process sees it.
struct ServerRow
{
    std::string serverId;
    std::string ownerEntryId; ///< Empty while unassigned.
    std::uint64_t shareEpoch = 0;
    bool leaving = false;
    std::optional<Wire::ServerObservation> observation; ///< By the owner.
    Base::Instant observedAt {};
    Base::Instant recoveringUntil {}; ///< Until then, an unusable server is expected to recover.
    std::uint32_t inFlight = 0; ///< Attempts of this process.
    std::uint32_t inFlightWhenObserved = 0;
    std::uint32_t overdue = 0; ///< Attempts of this process in flight for longer than the hedge delay.
    /// Moving average measured by this process, without the owner's queue time; 0 means none.
    double latencyMicroseconds = 0.0;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveEjections = 0;
    std::optional<Base::Instant> ejectedUntil;
    bool probing = false; ///< The attempt that probes the ejected server is in flight.

    bool offers(std::uint64_t version) const;
};

/// All backend servers of all documents seen so far, with ownership, observations and ejection.
class ServerTable
{
public:
    /// Returns the row number of a server, adding it when it is new.
    ServerKey intern(std::string_view serverId);
    ServerRow &row(ServerKey key) { return rows_[key]; }
    const ServerRow &row(ServerKey key) const { return rows_[key]; }

    /// Applies the owners of a directory. A server is unusable until its new owner has observed it.
    void assignShares(Base::Instant now, std::span<const Wire::ShareRecord> shares);
    /// Applies an observation; ignored unless `ownerEntryId` owns the server.
    void observe(Base::Instant now, std::string_view ownerEntryId,
                 const Wire::ServerObservation &observation);
    /// Removes a version that the server refused, until its owner's next observation.
    void withdrawVersion(ServerKey key, std::uint64_t version);

    void attemptStarted(Base::Instant now, ServerKey key);
    void attemptOverdue(ServerKey key) { ++rows_[key].overdue; }
    void attemptEnded(ServerKey key, bool overdue);
    void recordReply(ServerKey key, Base::Duration latency);
    /// Counts a failure or a missing reply; returns whether it ejects the server.
    bool recordFailure(Base::Instant now, ServerKey key);
    /// Adds the latency of a reply, or the time that an unanswered attempt has taken so far, to the average.
    void addLatencySample(ServerKey key, Base::Duration elapsed);

    Eligibility eligibility(Base::Instant now, ServerKey key) const;
    /// Returns whether an unusable server was usable or changed its owner recently: its share may be moving
    /// to another entry process, or the new owner has not reported yet.
    bool isRecovering(Base::Instant now, ServerKey key) const;
    /// Requests ahead of a new one, per slot; below 1 while a slot is free.
    double occupancy(ServerKey key) const;
    /// Part of predictedResponseTime() that is spent in the owner's queue.
    Base::Duration predictedQueueTime(ServerKey key, Base::Duration typicalLatency) const;
    /// Time until the reply to an attempt that would be sent now; `typicalLatency` stands in for a missing
    /// estimate.
    Base::Duration predictedResponseTime(ServerKey key, Base::Duration typicalLatency) const;
    /// The same for a hedge of an attempt that was sent `elapsed` ago. Owners dispatch by deadline, so the
    /// hedge overtakes requests queued since then, but not those queued earlier.
    Base::Duration predictedHedgeResponseTime(ServerKey key, Base::Duration typicalLatency,
                                              Base::Duration elapsed) const;

private:
    double serviceTimesUntilFreeSlot(const ServerRow &server) const;
    double serviceTimesUntilDispatch(ServerKey key) const;
    double expectedLatency(const ServerRow &server, Base::Duration typicalLatency) const;

    std::vector<ServerRow> rows_;
    std::unordered_map<std::string, ServerKey> keys_;
};

} // namespace Query
