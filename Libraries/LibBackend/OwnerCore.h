#pragma once

#include "LibBackend/Action.h"
#include "LibBackend/AttemptTable.h"
#include "LibBackend/BackendReply.h"
#include "LibBackend/Server.h"
#include "LibBackend/ServerTable.h"
#include "LibConfiguration/Document.h"
#include "LibWire/LeaseMessages.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace Backend {

/// Decides what an entry process sends to the backend servers that it owns.
///
/// It performs no I/O and reads no clock: events come in with `now`, actions are drained with takeActions().
class OwnerCore
{
public:
    explicit OwnerCore(std::string entryId);

    /// Adopts the shares that the directory gives to this entry process, with the limits of `document`.
    /// A share that the leader wants back is released. `leavingVms` holds the addresses (ip) that the
    /// platform lists as leaving.
    void configure(Base::Instant now, const Configuration::Document &document,
                   std::span<const Wire::ShareRecord> shares,
                   const std::unordered_set<std::string> &leavingVms);

    /// Work is dispatched only before `until`.
    void setLease(Base::Instant until) { leaseUntil_ = until; }

    /// Queues a sub-request, or answers it at once with an error that is proven not run.
    void submit(Base::Instant now, SenderToken sender, const Wire::ExecuteSubrequestRequest &request);
    void cancel(Base::Instant now, std::string_view attemptId);

    void connectionOpened(Base::Instant now, std::string_view serverId, ConnectionId connectionId);
    /// A connection failed to open or broke while it was idle.
    void connectionClosed(Base::Instant now, std::string_view serverId, ConnectionId connectionId);
    /// `connectionUsable` tells whether the connection can carry another request.
    void replied(Base::Instant now, std::string_view attemptId, const BackendReply &reply,
                 bool connectionUsable);
    void statusPolled(Base::Instant now, std::string_view serverId,
                      const std::optional<BackendStatus> &status);

    /// Stops new work on one share so that it can be given back.
    void release(std::string_view serverId);
    void releaseAll();
    /// Shares that were released and have no work in flight.
    std::vector<Wire::ReleasedShare> releasedShares() const;

    void tick(Base::Instant now);
    /// When tick() must run next without another event.
    std::optional<Base::Instant> nextWake() const;
    Actions takeActions();

    std::vector<Wire::ServerObservation> observations() const;
    bool hasWork() const { return attempts_.size() > 0; }

private:
    void addServer(Base::Instant now, const Configuration::Index &index,
                   const Configuration::BackendServer &declared, const Wire::ShareRecord &share,
                   bool leaving);
    void removeServer(Server &server);
    std::optional<Base::Error> refusal(Base::Instant now, const Server *server,
                                       const Wire::ExecuteSubrequestRequest &request) const;
    void refuse(SenderToken sender, const Wire::ExecuteSubrequestRequest &request, const Base::Error &error,
                const Server *server);
    void answer(const Attempt &attempt, const Server &server, Wire::ExecuteSubrequestReply reply);
    void answerNotRun(const Attempt &attempt, const Server &server, const Base::Error &error);
    void dropQueued(Server &server, Base::ErrorKind kind);
    void applyVerdict(Server &server, const Wire::ExecuteSubrequestRequest &request, const Verdict &verdict);
    void startDraining(Server &server);
    void closeConnection(Server &server, ConnectionId connectionId);
    void closeUnusedConnections(Server &server);
    void connectFailed(Base::Instant now, Server &server);

    void runExpirySystem(Base::Instant now, Server &server);
    void runConnectionSystem(Base::Instant now, Server &server);
    void runDispatchSystem(Base::Instant now, Server &server);
    void runStatusSystem(Base::Instant now, Server &server);
    void expireQueued(Base::Instant now, Server &server);
    void abandonInFlight(Base::Instant now, Server &server);
    void dispatch(Base::Instant now, Server &server, Connection &connection, Attempt &attempt);

    std::string entryId_;
    // Declared before the servers: their queues link attempts and must be destroyed first.
    AttemptTable attempts_;
    ServerTable servers_;
    std::vector<Attempt *> inFlight_; ///< Attempts that the sender still waits for.
    Base::Instant leaseUntil_ {};
    std::uint64_t nextSequence_ = 1;
    ConnectionId nextConnectionId_ = 1;
    Actions actions_;
};

} // namespace Backend
