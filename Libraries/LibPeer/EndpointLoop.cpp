#include "LibPeer/EndpointLoop.h"

#include "LibBase/AddressText.h"
#include "LibBase/Log.h"
#include "LibPeer/Limits.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <exception>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>

namespace Peer {

namespace {

constexpr Base::Log Log("peer");

constexpr std::uint64_t MailboxTag = 0;
constexpr std::uint64_t ListenerTag = 1;
constexpr std::uint64_t FirstConnectionTag = 2;
constexpr int EventsPerWait = 1024;

void watch(int epoll, int descriptor, std::uint64_t tag, std::uint32_t events, int operation)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = tag;
    epoll_ctl(epoll, operation, descriptor, &event);
}

void disableDelay(int socket)
{
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace

EndpointLoop::EndpointLoop(EndpointOptions options, FileDescriptor listener)
    : listener_(std::move(listener))
    , epoll_(epoll_create1(EPOLL_CLOEXEC))
    , listenAddress_(SocketAddress::ofSocket(listener_.get()).toString())
    , nextConnection_(FirstConnectionTag)
    , nextMaintenance_(clock_.now() + MaintenanceInterval)
{
    context_.sharedSecret = std::move(options.sharedSecret);
    context_.handler = std::move(options.handler);
    context_.mailbox = mailbox_;
    context_.answer = [this](ConnectionId id, std::int32_t stream, Base::Result<Base::Bytes> result) {
        answer(id, stream, std::move(result));
    };
    watch(epoll_.get(), mailbox_->descriptor(), MailboxTag, EPOLLIN, EPOLL_CTL_ADD);
    watch(epoll_.get(), listener_.get(), ListenerTag, EPOLLIN, EPOLL_CTL_ADD);
}

EndpointLoop::~EndpointLoop() = default;

void EndpointLoop::run()
{
    while (running_) {
        waitForEvents();
        runTasks();
        runTimers();
        flushDirty();
        if (context_.shuttingDown && (isDrained() || clock_.now() >= shutdownDeadline_))
            running_ = false;
    }
    finishAll();
}

int EndpointLoop::waitMilliseconds() const
{
    auto next = nextMaintenance_;
    if (const auto deadline = calls_.nextDeadline())
        next = std::min(next, *deadline);
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next - clock_.now());
    return static_cast<int>(std::max<std::int64_t>(wait.count(), 0));
}

void EndpointLoop::waitForEvents()
{
    std::array<epoll_event, EventsPerWait> events {};
    const auto count = epoll_wait(epoll_.get(), events.data(), EventsPerWait, waitMilliseconds());
    for (int index = 0; index < count; ++index) {
        const auto tag = events[static_cast<std::size_t>(index)].data.u64;
        if (tag == ListenerTag)
            acceptConnections();
        else if (tag != MailboxTag)
            serveEvent(tag, events[static_cast<std::size_t>(index)].events);
    }
}

void EndpointLoop::runTasks()
{
    for (const auto &task : mailbox_->take()) {
        try {
            task();
        } catch (const std::exception &exception) {
            Log.error("A task failed; the endpoint goes on.", {{"reason", exception.what()}});
        }
    }
}

void EndpointLoop::runTimers()
{
    const auto now = clock_.now();
    for (const auto id : calls_.expired(now)) {
        if (const auto *call = calls_.find(id); call != nullptr) {
            const auto found = connections_.find(call->connection);
            if (found != connections_.end()) {
                static_cast<ClientConnection *>(found->second.get())->abandon(id);
                dirty_.insert(found->first);
            }
            calls_.completeAsLost(id, "timeout");
        }
    }
    if (now >= nextMaintenance_) {
        maintainConnections();
        const bool connecting =
            std::any_of(clientConnections_.begin(), clientConnections_.end(), [this](const auto &client) {
                return static_cast<ClientConnection *>(connections_.at(client.second).get())->isConnecting();
            });
        nextMaintenance_ = now + (connecting ? AttemptCheckInterval : MaintenanceInterval);
    }
}

void EndpointLoop::maintainConnections()
{
    const auto now = clock_.now();
    std::vector<ConnectionId> finished;
    for (auto &[id, connection] : connections_) {
        if (connection->maintain(now))
            dirty_.insert(id);
        else
            finished.push_back(id);
    }
    for (const auto id : finished)
        finish(id);
}

void EndpointLoop::acceptConnections()
{
    while (true) {
        FileDescriptor socket(accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!socket.isOpen())
            return;
        if (const auto peer = Base::parseAddress(SocketAddress::ofPeer(socket.get()).toString()))
            renewAttemptsTo(peer->ip);
        if (acceptedCount_ >= MaxAcceptedConnections || context_.shuttingDown)
            continue;
        disableDelay(socket.get());
        const auto id = nextConnection_++;
        ++acceptedCount_;
        add(id, std::make_unique<ServerConnection>(std::move(socket), id, context_, clock_.now()));
    }
}

/// Covers a VM that comes up after this process called it: its own first call shows that it is reachable,
/// while an attempt made before would wait for its timeout. The next call then connects at once.
void EndpointLoop::renewAttemptsTo(std::string_view ip)
{
    const auto now = clock_.now();
    const auto leadsThere = [ip](const std::string &address) {
        const auto parts = Base::parseAddress(address);
        return parts && parts->ip == ip;
    };
    std::vector<ConnectionId> outdated;
    for (const auto &[address, id] : clientConnections_) {
        const auto *client = static_cast<ClientConnection *>(connections_.at(id).get());
        if (client->isConnecting() && now - client->startedAt() > MinAttemptAge && leadsThere(address))
            outdated.push_back(id);
    }
    for (const auto id : outdated) {
        static_cast<ClientConnection *>(connections_.at(id).get())->endOutdatedAttempt();
        finish(id);
    }
    std::erase_if(backoffs_, [&](const auto &backoff) { return leadsThere(backoff.first); });
}

void EndpointLoop::add(ConnectionId id, std::unique_ptr<Connection> connection)
{
    watch(epoll_.get(), connection->descriptor(), id, EPOLLIN | EPOLLOUT, EPOLL_CTL_ADD);
    writeInterest_[id] = true;
    connection->countTraffic(traffic_);
    connections_.emplace(id, std::move(connection));
}

void EndpointLoop::serveEvent(ConnectionId id, std::uint32_t events)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    auto &connection = *found->second;
    const bool readable = (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0;
    if (readable && !connection.receive(clock_.now()))
        finish(id);
    else
        dirty_.insert(id);
}

void EndpointLoop::flushDirty()
{
    for (const auto id : std::exchange(dirty_, {})) {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            continue;
        if (found->second->flush())
            updateInterest(id, *found->second);
        else
            finish(id);
    }
}

void EndpointLoop::updateInterest(ConnectionId id, const Connection &connection)
{
    const auto wanted = connection.wantsWritable();
    auto &current = writeInterest_[id];
    if (current == wanted)
        return;
    current = wanted;
    watch(epoll_.get(), connection.descriptor(), id, wanted ? EPOLLIN | EPOLLOUT : EPOLLIN, EPOLL_CTL_MOD);
}

void EndpointLoop::finish(ConnectionId id)
{
    auto node = connections_.extract(id);
    if (node.empty())
        return;
    const auto connection = std::move(node.mapped());
    writeInterest_.erase(id);
    if (const auto *client = dynamic_cast<ClientConnection *>(connection.get()); client != nullptr) {
        clientConnections_.erase(client->address());
        noteClientFailure(*client);
    } else {
        --acceptedCount_;
    }
    Log.debug("Connection closed.", {{"reason", connection->failure()}});
    connection->close();
}

void EndpointLoop::noteClientFailure(const ClientConnection &connection)
{
    if (connection.isReady()) {
        backoffs_.erase(connection.address());
        return;
    }
    auto &backoff = backoffs_[connection.address()];
    backoff.delay = std::clamp(backoff.delay * 2, MinBackoff, MaxBackoff);
    backoff.until = clock_.now() + backoff.delay;
    backoff.reason = connection.failure();
}

void EndpointLoop::finishAll()
{
    for (const auto &task : mailbox_->close())
        task();
    while (!connections_.empty())
        finish(connections_.begin()->first);
    for (const auto id : calls_.ids())
        calls_.completeAsLost(id, "endpoint stopped");
}

void EndpointLoop::startCall(const std::string &address, Call call)
{
    const auto id = call.id;
    calls_.add(std::move(call));
    if (context_.shuttingDown || !running_) {
        calls_.complete(id, Base::fail(Base::ErrorKind::PeerUnreachable, "endpoint is shutting down"));
        return;
    }
    auto *connection = connectionTo(address);
    if (connection == nullptr) {
        calls_.complete(id, Base::fail(Base::ErrorKind::PeerUnreachable,
                                       fmt::format("{}: {}", address, backoffs_[address].reason)));
        return;
    }
    const auto connectionId = clientConnections_[address];
    calls_.find(id)->connection = connectionId;
    connection->start(id);
    dirty_.insert(connectionId);
}

void EndpointLoop::cancelCall(CallId id)
{
    const auto *call = calls_.find(id);
    if (call == nullptr)
        return;
    const auto found = connections_.find(call->connection);
    if (found != connections_.end()) {
        static_cast<ClientConnection *>(found->second.get())->abandon(id);
        dirty_.insert(found->first);
    }
    calls_.complete(id, Base::fail(Base::ErrorKind::Cancelled, "call was cancelled"));
}

ClientConnection *EndpointLoop::connectionTo(const std::string &address)
{
    const auto found = clientConnections_.find(address);
    if (found != clientConnections_.end())
        return static_cast<ClientConnection *>(connections_.at(found->second).get());
    const auto backoff = backoffs_.find(address);
    // Failing at once lets the caller choose another peer; the next attempt is at most MaxBackoff away.
    if (backoff != backoffs_.end() && clock_.now() < backoff->second.until)
        return nullptr;
    return openConnection(address);
}

ClientConnection *EndpointLoop::openConnection(const std::string &address)
{
    const auto target = SocketAddress::parse(address);
    if (!target) {
        backoffs_[address].reason = target.error().detail;
        return nullptr;
    }
    FileDescriptor socket(::socket(target->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const bool started =
        socket.isOpen()
        && (::connect(socket.get(), target->data(), target->size()) == 0 || errno == EINPROGRESS);
    if (!started) {
        backoffs_[address].reason = std::strerror(errno); // NOLINT: thread-safe for known codes.
        return nullptr;
    }
    disableDelay(socket.get());
    const auto id = nextConnection_++;
    const auto timeout =
        std::clamp(backoffs_[address].delay * ConnectTimeoutBackoffs, MinConnectTimeout, MaxConnectTimeout);
    auto connection = std::make_unique<ClientConnection>(std::move(socket), address, context_.sharedSecret,
                                                         calls_, clock_.now(), timeout);
    nextMaintenance_ = std::min(nextMaintenance_, clock_.now() + AttemptCheckInterval);
    auto *pointer = connection.get();
    clientConnections_[address] = id;
    add(id, std::move(connection));
    return pointer;
}

void EndpointLoop::answer(ConnectionId id, std::int32_t stream, Base::Result<Base::Bytes> result)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    static_cast<ServerConnection *>(found->second.get())->answer(stream, std::move(result));
    dirty_.insert(id);
}

void EndpointLoop::beginShutdown(Base::Instant deadline)
{
    context_.shuttingDown = true;
    shutdownDeadline_ = deadline;
    listener_.reset();
}

bool EndpointLoop::isDrained() const
{
    const auto isQuiet = [](const auto &item) {
        return item.second->openRequests() == 0 && !item.second->wantsWritable();
    };
    return calls_.empty() && std::all_of(connections_.begin(), connections_.end(), isQuiet);
}

} // namespace Peer
