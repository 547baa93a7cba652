#include "LibBackend/OwnerCore.h"

#include <algorithm>
#include <fmt/format.h>

namespace Backend {

using Base::ErrorKind;

namespace {

/// Connections kept free for the status page and for cancellations.
constexpr std::uint32_t ReservedConnections = 2;

constexpr Base::Duration StatusInterval = Base::milliseconds(500);
constexpr Base::Duration FirstReconnectDelay = Base::milliseconds(50);
constexpr Base::Duration LongestReconnectDelay = Base::milliseconds(1000);
constexpr std::uint32_t LongestReconnectDoubling = 5;

std::uint32_t connectionTarget(const Server &server)
{
    // One connection at a time while the server does not answer, so that a dead server costs little.
    if (server.failedConnects > 0)
        return 1;
    const auto usable =
        server.connectionLimit > ReservedConnections ? server.connectionLimit - ReservedConnections : 1;
    return std::min(server.slotLimit, usable);
}

std::string_view addressIp(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

Base::Duration reconnectDelay(std::uint32_t failedConnects)
{
    const auto doublings = std::min(failedConnects, LongestReconnectDoubling);
    return std::min(FirstReconnectDelay * (1U << doublings), LongestReconnectDelay);
}

} // namespace

OwnerCore::OwnerCore(std::string entryId)
    : entryId_(std::move(entryId))
{
}

void OwnerCore::configure(Base::Instant now, const Configuration::Document &document,
                          std::span<const Wire::ShareRecord> shares,
                          const std::unordered_set<std::string> &leavingVms)
{
    std::unordered_set<std::string> owned;
    for (const auto &index : document.indexes) {
        for (const auto &declared : index.servers) {
            const auto hasServer = [&](const auto &share) { return share.serverId == declared.id; };
            const auto share = std::find_if(shares.begin(), shares.end(), hasServer);
            if (share == shares.end() || share->entryId != entryId_)
                continue;
            owned.insert(declared.id);
            const bool leaving =
                declared.leaving || leavingVms.contains(std::string(addressIp(declared.address)));
            addServer(now, index, declared, *share, leaving);
        }
    }
    std::vector<Server *> lost;
    for (const auto &[serverId, server] : servers_.all()) {
        if (!owned.contains(serverId))
            lost.push_back(server.get());
    }
    for (auto *server : lost)
        removeServer(*server);
}

void OwnerCore::addServer(Base::Instant now, const Configuration::Index &index,
                          const Configuration::BackendServer &declared, const Wire::ShareRecord &share,
                          bool leaving)
{
    auto *server = servers_.find(declared.id);
    // A server that moved to another address is another server: its connections and estimates do not carry
    // over.
    if (server != nullptr && server->address != declared.address) {
        removeServer(*server);
        server = servers_.find(declared.id);
        if (server != nullptr)
            return;
    }
    if (server == nullptr) {
        auto added = std::make_unique<Server>();
        added->serverId = declared.id;
        added->address = declared.address;
        added->nextConnectAt = now;
        added->nextStatusPollAt = now;
        server = &servers_.insert(std::move(added));
    }
    const bool isNewShare = server->shareEpoch != share.epoch;
    server->shareEpoch = share.epoch;
    server->slotLimit = index.slotsPerServer;
    server->connectionLimit = index.connectionsPerServer;
    server->ramp.setLimit(index.slotsPerServer);
    server->leaving = leaving;
    server->retired = false;
    if (isNewShare)
        server->released = false;
    if (share.releaseRequested)
        release(declared.id);
    if (!server->takesNewWork())
        dropQueued(*server, server->released ? ErrorKind::NotOwner : ErrorKind::BackendDraining);
}

void OwnerCore::removeServer(Server &server)
{
    server.released = true;
    server.retired = true;
    dropQueued(server, ErrorKind::NotOwner);
    closeUnusedConnections(server);
    if (server.inFlight > 0)
        return;
    const auto serverId = server.serverId;
    servers_.erase(serverId);
}

std::optional<Base::Error> OwnerCore::refusal(Base::Instant now, const Server *server,
                                              const Wire::ExecuteSubrequestRequest &request) const
{
    if (now >= leaseUntil_)
        return Base::Error {ErrorKind::LeaseExpired, {}};
    if (server == nullptr || server->released || server->shareEpoch != request.shareEpoch)
        return Base::Error {ErrorKind::NotOwner, request.serverId};
    if (!server->takesNewWork())
        return Base::Error {ErrorKind::BackendDraining, request.serverId};
    if (!server->isReachable())
        return Base::Error {ErrorKind::BackendUnreachable, request.serverId};
    const auto budget = Base::Duration(request.budgetMicroseconds);
    if (budget <= server->latency.fastest())
        return Base::Error {ErrorKind::DeadlineExceeded,
                            "the time left is shorter than any recent service time"};
    return std::nullopt;
}

void OwnerCore::submit(Base::Instant now, SenderToken sender, const Wire::ExecuteSubrequestRequest &request)
{
    auto *server = servers_.find(request.serverId);
    if (const auto error = refusal(now, server, request)) {
        refuse(sender, request, *error, server);
        return;
    }
    auto attempt = std::make_unique<Attempt>();
    attempt->sender = sender;
    attempt->request = request;
    attempt->queuedAt = now;
    attempt->deadline = now + Base::Duration(request.budgetMicroseconds);
    attempt->sequence = nextSequence_++;
    auto *inserted = attempts_.insert(std::move(attempt));
    if (inserted == nullptr) {
        refuse(sender, request, {ErrorKind::MalformedMessage, "the attempt id is already in use"}, server);
        return;
    }
    server->queue.insert(*inserted);
    runDispatchSystem(now, *server);
}

void OwnerCore::refuse(SenderToken sender, const Wire::ExecuteSubrequestRequest &request,
                       const Base::Error &error, const Server *server)
{
    Wire::ExecuteSubrequestReply reply;
    reply.attemptId = request.attemptId;
    reply.error = Wire::toMessage(error);
    reply.notRun = true;
    reply.observation.serverId = request.serverId;
    if (server != nullptr)
        reply.observation = server->observation();
    actions_.emplace_back(ReplyToSender {sender, std::move(reply)});
}

void OwnerCore::answer(const Attempt &attempt, const Server &server, Wire::ExecuteSubrequestReply reply)
{
    reply.attemptId = attempt.request.attemptId;
    reply.observation = server.observation();
    actions_.emplace_back(ReplyToSender {attempt.sender, std::move(reply)});
}

void OwnerCore::answerNotRun(const Attempt &attempt, const Server &server, const Base::Error &error)
{
    Wire::ExecuteSubrequestReply reply;
    reply.error = Wire::toMessage(error);
    reply.notRun = true;
    answer(attempt, server, std::move(reply));
}

void OwnerCore::dropQueued(Server &server, ErrorKind kind)
{
    while (!server.queue.empty()) {
        auto &attempt = *server.queue.begin();
        server.queue.erase(server.queue.begin());
        answerNotRun(attempt, server, {kind, server.serverId});
        attempts_.erase(attempt.request.attemptId);
    }
}

void OwnerCore::cancel(Base::Instant now, std::string_view attemptId)
{
    auto *attempt = attempts_.find(attemptId);
    if (attempt == nullptr || attempt->state == AttemptState::Abandoned)
        return;
    auto *server = servers_.find(attempt->request.serverId);
    if (attempt->state == AttemptState::Queued) {
        server->queue.erase(server->queue.iterator_to(*attempt));
        answerNotRun(*attempt, *server, {ErrorKind::Cancelled, {}});
        attempts_.erase(std::string(attemptId));
        return;
    }
    actions_.emplace_back(CancelAtServer {server->serverId, server->address, std::string(attemptId)});
    Wire::ExecuteSubrequestReply reply;
    reply.error = Wire::toMessage({ErrorKind::Cancelled, {}});
    answer(*attempt, *server, std::move(reply));
    attempt->state = AttemptState::Abandoned;
    std::erase(inFlight_, attempt);
    runDispatchSystem(now, *server);
}

void OwnerCore::connectionOpened(Base::Instant now, std::string_view serverId, ConnectionId connectionId)
{
    auto *server = servers_.find(serverId);
    auto *connection = server == nullptr ? nullptr : server->findConnection(connectionId);
    if (connection == nullptr) {
        actions_.emplace_back(CloseConnection {std::string(serverId), connectionId});
        return;
    }
    connection->state = ConnectionState::Idle;
    server->failedConnects = 0;
    runDispatchSystem(now, *server);
}

void OwnerCore::connectionClosed(Base::Instant now, std::string_view serverId, ConnectionId connectionId)
{
    auto *server = servers_.find(serverId);
    auto *connection = server == nullptr ? nullptr : server->findConnection(connectionId);
    if (connection == nullptr || connection->state == ConnectionState::Busy)
        return;
    const bool wasOpening = connection->state == ConnectionState::Opening;
    std::erase_if(server->connections, [&](const auto &candidate) { return candidate.id == connectionId; });
    if (wasOpening)
        connectFailed(now, *server);
}

void OwnerCore::connectFailed(Base::Instant now, Server &server)
{
    ++server.failedConnects;
    server.nextConnectAt = now + reconnectDelay(server.failedConnects);
    if (server.isReachable())
        return;
    server.ramp.restart();
    dropQueued(server, ErrorKind::BackendUnreachable);
}

void OwnerCore::replied(Base::Instant now, std::string_view attemptId, const BackendReply &reply,
                        bool connectionUsable)
{
    auto *attempt = attempts_.find(attemptId);
    if (attempt == nullptr || attempt->state == AttemptState::Queued)
        return;
    auto &server = *servers_.find(attempt->request.serverId);
    const auto verdict = interpret(reply, attemptId);
    --server.inFlight;
    // A reply to another attempt means that the connection is out of step; it must not carry further
    // requests.
    const bool inStep = reply && reply->attemptId == attemptId;
    if (connectionUsable && inStep && !server.released)
        server.findConnection(attempt->connectionId)->state = ConnectionState::Idle;
    else
        closeConnection(server, attempt->connectionId);
    const auto service = now - attempt->dispatchedAt;
    if (verdict.ok) {
        server.latency.record(service);
        server.ramp.recordSuccess();
    }
    if (reply && reply->load)
        server.reportedLoad = *reply->load;
    if (attempt->state == AttemptState::InFlight) {
        Wire::ExecuteSubrequestReply result;
        result.ok = verdict.ok;
        result.error = Wire::toMessage(verdict.error);
        result.notRun = verdict.notRun;
        result.queueMicroseconds = (attempt->dispatchedAt - attempt->queuedAt).count();
        result.serviceMicroseconds = service.count();
        if (verdict.ok) {
            result.indexVersion = reply->indexVersion;
            result.body = reply->body;
        }
        answer(*attempt, server, std::move(result));
        std::erase(inFlight_, attempt);
    }
    const auto request = std::move(attempt->request);
    attempts_.erase(std::string(attemptId));
    applyVerdict(server, request, verdict);
    if (server.retired && server.inFlight == 0)
        removeServer(server);
    else
        runDispatchSystem(now, server);
}

void OwnerCore::applyVerdict(Server &server, const Wire::ExecuteSubrequestRequest &request,
                             const Verdict &verdict)
{
    if (verdict.error.kind == ErrorKind::BackendDraining && !verdict.ok)
        startDraining(server);
    if (verdict.error.kind == ErrorKind::VersionNotOffered && !verdict.ok)
        std::erase(server.versions, request.indexVersion);
}

void OwnerCore::startDraining(Server &server)
{
    if (server.draining)
        return;
    server.draining = true;
    dropQueued(server, ErrorKind::BackendDraining);
}

void OwnerCore::closeConnection(Server &server, ConnectionId connectionId)
{
    std::erase_if(server.connections, [&](const auto &connection) { return connection.id == connectionId; });
    actions_.emplace_back(CloseConnection {server.serverId, connectionId});
}

void OwnerCore::closeUnusedConnections(Server &server)
{
    // The next owner needs the server's whole connection limit.
    std::vector<Connection> kept;
    for (const auto &connection : server.connections) {
        if (connection.state == ConnectionState::Busy)
            kept.push_back(connection);
        else
            actions_.emplace_back(CloseConnection {server.serverId, connection.id});
    }
    server.connections = std::move(kept);
}

void OwnerCore::statusPolled(Base::Instant now, std::string_view serverId,
                             const std::optional<BackendStatus> &status)
{
    auto *server = servers_.find(serverId);
    // A failed poll is only a hint: the status page may be slow while queries are answered.
    if (server == nullptr || !status)
        return;
    server->versions = status->versions;
    server->reportedLoad = status->load;
    if (status->draining) {
        startDraining(*server);
        return;
    }
    if (server->draining) {
        server->draining = false;
        server->ramp.restart();
    }
    runDispatchSystem(now, *server);
}

void OwnerCore::release(std::string_view serverId)
{
    auto *server = servers_.find(serverId);
    if (server == nullptr || server->released)
        return;
    server->released = true;
    dropQueued(*server, ErrorKind::NotOwner);
    closeUnusedConnections(*server);
}

void OwnerCore::releaseAll()
{
    for (const auto &[serverId, server] : servers_.all())
        release(serverId);
}

std::vector<Wire::ReleasedShare> OwnerCore::releasedShares() const
{
    std::vector<Wire::ReleasedShare> result;
    for (const auto &[serverId, server] : servers_.all()) {
        if (server->released && !server->retired && server->inFlight == 0)
            result.push_back({serverId, server->shareEpoch});
    }
    return result;
}

void OwnerCore::tick(Base::Instant now)
{
    for (const auto &[serverId, server] : servers_.all()) {
        runExpirySystem(now, *server);
        runConnectionSystem(now, *server);
        runDispatchSystem(now, *server);
        runStatusSystem(now, *server);
    }
}

void OwnerCore::runExpirySystem(Base::Instant now, Server &server)
{
    if (now >= leaseUntil_)
        dropQueued(server, ErrorKind::LeaseExpired);
    expireQueued(now, server);
    abandonInFlight(now, server);
}

void OwnerCore::expireQueued(Base::Instant now, Server &server)
{
    while (!server.queue.empty()) {
        auto &attempt = *server.queue.begin();
        if (attempt.deadline - server.latency.fastest() > now)
            return;
        server.queue.erase(server.queue.begin());
        answerNotRun(attempt, server, {ErrorKind::DeadlineExceeded, "the deadline cannot be met any more"});
        attempts_.erase(std::string(attempt.request.attemptId));
    }
}

void OwnerCore::abandonInFlight(Base::Instant now, Server &server)
{
    std::vector<Attempt *> late;
    // After the lease the next owner will use the slots, so work that may be repeated elsewhere is cancelled.
    const bool leaseExpired = now >= leaseUntil_;
    for (auto *attempt : inFlight_) {
        const bool mustEnd = attempt->deadline <= now || (leaseExpired && attempt->request.idempotent);
        if (attempt->request.serverId == server.serverId && mustEnd)
            late.push_back(attempt);
    }
    for (auto *attempt : late) {
        actions_.emplace_back(CancelAtServer {server.serverId, server.address, attempt->request.attemptId});
        Wire::ExecuteSubrequestReply reply;
        const bool isLate = attempt->deadline <= now;
        reply.error = Wire::toMessage({isLate ? ErrorKind::DeadlineExceeded : ErrorKind::Cancelled, {}});
        answer(*attempt, server, std::move(reply));
        attempt->state = AttemptState::Abandoned;
        std::erase(inFlight_, attempt);
    }
}

void OwnerCore::runConnectionSystem(Base::Instant now, Server &server)
{
    if (!server.takesNewWork() || now < server.nextConnectAt)
        return;
    while (server.connections.size() < connectionTarget(server)) {
        const auto connectionId = nextConnectionId_++;
        server.connections.push_back({connectionId, ConnectionState::Opening});
        actions_.emplace_back(OpenConnection {server.serverId, server.address, connectionId});
    }
}

void OwnerCore::runDispatchSystem(Base::Instant now, Server &server)
{
    if (now >= leaseUntil_ || !server.takesNewWork())
        return;
    expireQueued(now, server);
    while (!server.queue.empty() && server.inFlight < server.ramp.slots()) {
        auto *connection = server.findIdleConnection();
        if (connection == nullptr)
            return;
        auto &attempt = *server.queue.begin();
        server.queue.erase(server.queue.begin());
        dispatch(now, server, *connection, attempt);
    }
}

void OwnerCore::dispatch(Base::Instant now, Server &server, Connection &connection, Attempt &attempt)
{
    connection.state = ConnectionState::Busy;
    attempt.connectionId = connection.id;
    attempt.state = AttemptState::InFlight;
    attempt.dispatchedAt = now;
    attempt.request.budgetMicroseconds = (attempt.deadline - now).count();
    ++server.inFlight;
    inFlight_.push_back(&attempt);
    actions_.emplace_back(Dispatch {connection.id, attempt.request});
}

void OwnerCore::runStatusSystem(Base::Instant now, Server &server)
{
    if (server.retired || now < server.nextStatusPollAt)
        return;
    server.nextStatusPollAt = now + StatusInterval;
    actions_.emplace_back(PollStatus {server.serverId, server.address});
}

std::optional<Base::Instant> OwnerCore::nextWake() const
{
    std::optional<Base::Instant> wake;
    const auto consider = [&](Base::Instant instant) { wake = wake ? std::min(*wake, instant) : instant; };
    for (const auto &[serverId, server] : servers_.all()) {
        if (!server->retired)
            consider(server->nextStatusPollAt);
        if (server->takesNewWork() && server->connections.size() < connectionTarget(*server))
            consider(server->nextConnectAt);
        if (!server->queue.empty())
            consider(server->queue.begin()->deadline - server->latency.fastest());
    }
    for (const auto *attempt : inFlight_)
        consider(attempt->request.idempotent ? std::min(attempt->deadline, leaseUntil_) : attempt->deadline);
    return wake;
}

Actions OwnerCore::takeActions()
{
    return std::exchange(actions_, {});
}

std::vector<Wire::ServerObservation> OwnerCore::observations() const
{
    std::vector<Wire::ServerObservation> result;
    for (const auto &[serverId, server] : servers_.all()) {
        if (!server->released)
            result.push_back(server->observation());
    }
    return result;
}

} // namespace Backend
