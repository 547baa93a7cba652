#pragma once

#include "LibBase/Clock.h"
#include "LibPeer/CallTable.h"
#include "LibPeer/ClientConnection.h"
#include "LibPeer/ServerConnection.h"
#include "LibPeer/SocketAddress.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace Peer {

/// The loop thread's state: listener, connections, calls and timers. All functions run on the loop thread,
/// except for the constructor and what Mailbox offers.
class EndpointLoop
{
public:
    EndpointLoop(EndpointOptions options, FileDescriptor listener);
    ~EndpointLoop();
    EndpointLoop(const EndpointLoop &) = delete;
    EndpointLoop &operator=(const EndpointLoop &) = delete;

    /// Runs until stop() or until a shutdown is complete, then ends all calls and requests.
    void run();

    void startCall(const std::string &address, Call call);
    void cancelCall(CallId id);

    /// Refuses new calls and requests and ends run() when none is open, at the latest at `deadline`.
    void beginShutdown(Base::Instant deadline);
    void stop() { running_ = false; }

    const std::shared_ptr<Mailbox> &mailbox() const { return mailbox_; }
    std::string listenAddress() const { return listenAddress_; }
    const Base::Clock &clock() const { return clock_; }
    TrafficCounters &traffic() { return traffic_; }

private:
    using ConnectionId = std::uint64_t;

    struct Backoff
    {
        Base::Duration delay {};
        Base::Instant until;
        std::string reason;
    };

    void waitForEvents();
    void runTasks();
    void runTimers();
    void maintainConnections();
    void acceptConnections();
    void renewAttemptsTo(std::string_view ip);
    void serveEvent(ConnectionId id, std::uint32_t events);
    void flushDirty();
    void add(ConnectionId id, std::unique_ptr<Connection> connection);
    void updateInterest(ConnectionId id, const Connection &connection);
    void finish(ConnectionId id);
    void finishAll();
    ClientConnection *connectionTo(const std::string &address);
    ClientConnection *openConnection(const std::string &address);
    void noteClientFailure(const ClientConnection &connection);
    void answer(ConnectionId id, std::int32_t stream, Base::Result<Base::Bytes> result);
    bool isDrained() const;
    int waitMilliseconds() const;

    Base::SystemClock clock_;
    std::shared_ptr<Mailbox> mailbox_ = std::make_shared<Mailbox>();
    FileDescriptor listener_;
    FileDescriptor epoll_;
    std::string listenAddress_;
    ServerContext context_;
    CallTable calls_;
    TrafficCounters traffic_;
    std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
    std::map<std::string, ConnectionId, std::less<>> clientConnections_;
    std::map<std::string, Backoff, std::less<>> backoffs_;
    std::unordered_map<ConnectionId, bool> writeInterest_;
    std::set<ConnectionId> dirty_;
    ConnectionId nextConnection_;
    std::size_t acceptedCount_ = 0;
    Base::Instant nextMaintenance_;
    Base::Instant shutdownDeadline_;
    bool running_ = true;
};

} // namespace Peer
