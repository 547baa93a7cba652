#pragma once

#include "LibEdge/BackendConnection.h"
#include "LibForward/ForwardCore.h"

#include <list>
#include <map>
#include <memory>

namespace Services {

/// Callbacks for the outcome of attempts.
class AttemptEvents
{
public:
    virtual ~AttemptEvents() = default;
    /// Returns whether a response belongs to the attempt; others on its connection are dropped.
    virtual bool answersAttempt(Forward::AttemptId attempt, const Forward::Backend &backend,
                                const Edge::ResponseMessage &response) = 0;
    virtual void attemptReplied(Forward::AttemptId attempt, Edge::ResponseMessage response) = 0;
    virtual void attemptFailed(Forward::AttemptId attempt, Edge::ExchangeFailure failure,
                               const std::string &detail) = 0;
};

/// Pool of persistent connections to backend servers. Each connection carries one attempt at a time.
class BackendPool
{
public:
    /// Unfinished responses are charged to `memory`.
    BackendPool(Edge::Loop &loop, AttemptEvents &events, std::shared_ptr<Edge::MemoryAccount> memory);
    ~BackendPool();
    BackendPool(const BackendPool &) = delete;
    BackendPool &operator=(const BackendPool &) = delete;

    /// Sends a formatted request, followed by `body` if that is not null. `freshConnection` avoids a pooled
    /// connection that the server may be closing, for requests that must not be sent again.
    void send(Forward::AttemptId attempt, const Forward::BackendPointer &backend, std::string request,
              std::shared_ptr<const std::string> body, const Edge::ReplyFraming &framing,
              bool freshConnection);

    /// Aborts the attempt and its connection without a callback.
    void abort(Forward::AttemptId attempt);

    /// Closes connections that cannot be reused, surplus idle ones, and those to removed servers.
    void closeUnusedConnections();

    /// Bytes of unfinished responses, beyond the first ones of each.
    std::size_t bufferedBytes() const { return memory_.heldBytes(); }

    std::uint64_t connectionsOpened() const { return connectionsOpened_; }

private:
    class PooledConnection;

    void release(PooledConnection &pooled, bool keep);

    Edge::Loop &loop_;
    AttemptEvents &events_;
    Base::SystemClock clock_;
    Edge::ReplyMemory memory_;
    std::map<Forward::BackendPointer, std::list<std::unique_ptr<PooledConnection>>> idle_;
    std::map<Forward::AttemptId, std::unique_ptr<PooledConnection>> busy_;
    std::uint64_t connectionsOpened_ = 0;
};

} // namespace Services
