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

/// Whether a server may get work, seen from this process.
enum class Standing : std::uint8_t {
    Ready,
    ProbeDue, ///< Ejected, and one sub-request may test it now.
    LastResort, ///< Ejected, or its owner has been silent; used only when nothing better is left.
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
    Base::Instant recoverUntil {}; ///< Until then, an unusable server is expected to come back.
    std::uint32_t inFlight = 0; ///< Attempts of this process.
    std::uint32_t inFlightWhenObserved = 0;
    std::uint32_t overdue = 0; ///< Attempts of this process in flight for longer than the hedge delay.
    double latencyMicroseconds = 0.0; ///< Own moving average without the owner's queue; 0 means none.
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveEjections = 0;
    std::optional<Base::Instant> ejectedUntil;
    bool probing = false; ///< The attempt that tests the ejected server is in flight.

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

    /// Applies the owners of a directory. A server with a new owner must be observed by it first.
    void assignShares(Base::Instant now, std::span<const Wire::ShareRecord> shares);
    /// Applies an observation; ignored unless `ownerEntryId` owns the server.
    void observe(Base::Instant now, std::string_view ownerEntryId,
                 const Wire::ServerObservation &observation);
    /// Notes that the server refused this version, until its owner's next observation.
    void withdrawVersion(ServerKey key, std::uint64_t version);

    void attemptStarted(Base::Instant now, ServerKey key);
    void attemptOverdue(ServerKey key) { ++rows_[key].overdue; }
    void attemptEnded(ServerKey key, bool overdue);
    void recordReply(ServerKey key, Base::Duration latency);
    /// Counts a failure or a missing reply; returns true when it ejects the server.
    bool recordFailure(Base::Instant now, ServerKey key);
    /// Raises the latency estimate by an attempt that has taken at least `elapsed` without a reply.
    void recordSilence(ServerKey key, Base::Duration elapsed);

    Standing standing(Base::Instant now, ServerKey key) const;
    /// True for an unusable server that was usable or changed its owner a short time ago: its share may be on
    /// the way to another entry process, or the new owner has not been observed yet.
    bool isRecovering(Base::Instant now, ServerKey key) const;
    /// Requests ahead of a new one, per slot; below 1 while a slot is free.
    double occupancy(ServerKey key) const;
    /// Part of predictedAnswer() that is spent in the owner's queue.
    Base::Duration predictedWait(ServerKey key, Base::Duration typical) const;
    /// Time until the reply to an attempt that would be sent now; `typical` stands in for a missing estimate.
    Base::Duration predictedAnswer(ServerKey key, Base::Duration typical) const;
    /// The same for a hedge of an attempt that is `elapsed` old. Owners dispatch by deadline, so the hedge
    /// passes what was queued since then, but not what has waited for longer.
    Base::Duration predictedHedge(ServerKey key, Base::Duration typical, Base::Duration elapsed) const;

private:
    double turnsUntilSlot(const ServerRow &server) const;
    double turnsUntilDispatch(ServerKey key) const;
    double expectedLatency(const ServerRow &server, Base::Duration typical) const;

    std::vector<ServerRow> rows_;
    std::unordered_map<std::string, ServerKey> keys_;
};

} // namespace Query
