#include "Services/Gateway/BackendPool.h"

namespace Services {

namespace {

/// Servers of one deployment accept connections within milliseconds; one without power never does.
constexpr Base::Duration ConnectTimeout = Base::milliseconds(250);
/// A connection used within this time is not close to any idle timeout.
constexpr Base::Duration RecentUseWindow = Base::milliseconds(1000);

/// Unfinished responses of all connections: a fifth of the memory of a small VM, and room for four of the
/// largest at once.
constexpr std::size_t MaxBufferedReplyBytes = std::size_t {32} * 1024 * 1024;

/// Idle time after which a connection beyond the first is closed.
constexpr Base::Duration SurplusIdleTimeout = Base::milliseconds(700);

} // namespace

/// One connection with the attempt that it carries.
class BackendPool::PooledConnection final : public Edge::BackendConnectionEvents
{
public:
    PooledConnection(BackendPool &pool, Forward::BackendPointer backend)
        : pool_(pool)
        , backend_(std::move(backend))
        , connection_(pool.loop_, backend_->record.address, ConnectTimeout, pool.memory_, *this)
    {
    }

    void send(Forward::AttemptId attempt, std::string request, std::shared_ptr<const std::string> body,
              const Edge::ReplyFraming &framing)
    {
        attempt_ = attempt;
        connection_.send(std::move(request), framing, std::move(body));
    }

    bool answersRequest(const Edge::ResponseMessage &response) override
    {
        return pool_.events_.answersAttempt(attempt_, *backend_, response);
    }

    void replyArrived(Edge::ResponseMessage response) override
    {
        const auto attempt = attempt_;
        auto &pool = pool_;
        pool.events_.attemptReplied(attempt, std::move(response));
        pool.release(*this, true);
    }

    void exchangeFailed(Edge::ExchangeFailure failure, const std::string &detail) override
    {
        const auto attempt = attempt_;
        auto &pool = pool_;
        pool.events_.attemptFailed(attempt, failure, detail);
        pool.release(*this, false);
    }

    void idleConnectionEnded() override { }

    const Forward::BackendPointer &backend() const { return backend_; }
    const Edge::BackendConnection &connection() const { return connection_; }
    Forward::AttemptId attempt() const { return attempt_; }

private:
    BackendPool &pool_;
    Forward::BackendPointer backend_;
    Edge::BackendConnection connection_;
    Forward::AttemptId attempt_ = 0;
};

BackendPool::BackendPool(Edge::Loop &loop, AttemptEvents &events, std::shared_ptr<Edge::MemoryAccount> memory)
    : loop_(loop)
    , events_(events)
    , memory_(MaxBufferedReplyBytes, std::move(memory))
{
}

BackendPool::~BackendPool() = default;

void BackendPool::send(Forward::AttemptId attempt, const Forward::BackendPointer &backend,
                       std::string request, std::shared_ptr<const std::string> body,
                       const Edge::ReplyFraming &framing, bool freshConnection)
{
    const auto now = clock_.now();
    auto &idle = idle_[backend];
    std::unique_ptr<PooledConnection> pooled;
    while (!idle.empty() && !pooled) {
        // The most recently used connection is the least likely to be closed by the server.
        auto candidate = std::move(idle.back());
        idle.pop_back();
        const bool recent = now - candidate->connection().idleSince() < RecentUseWindow;
        const bool acceptable = !freshConnection || (recent && candidate->connection().isQuiet());
        if (candidate->connection().isReusable(now) && acceptable)
            pooled = std::move(candidate);
    }
    if (!pooled) {
        pooled = std::make_unique<PooledConnection>(*this, backend);
        ++connectionsOpened_;
    }
    auto &used = *pooled;
    busy_[attempt] = std::move(pooled);
    used.send(attempt, std::move(request), std::move(body), framing);
}

void BackendPool::release(PooledConnection &pooled, bool keep)
{
    const auto found = busy_.find(pooled.attempt());
    if (found == busy_.end())
        return;
    auto owned = std::move(found->second);
    busy_.erase(found);
    if (keep && owned->connection().isReusable(clock_.now()) && owned->backend()->keepsConnections())
        idle_[owned->backend()].push_back(std::move(owned));
}

void BackendPool::abort(Forward::AttemptId attempt)
{
    busy_.erase(attempt);
}

void BackendPool::closeUnusedConnections()
{
    const auto now = clock_.now();
    for (auto next = idle_.begin(); next != idle_.end();) {
        auto &[backend, pooledConnections] = *next;
        const bool gone = !backend->keepsConnections();
        pooledConnections.remove_if(
            [&](const auto &pooled) { return gone || !pooled->connection().isReusable(now); });
        // One connection is enough under low load; the others come from a burst. They are closed, because the
        // servers need room for gateways that restart while their lost connections still count.
        while (pooledConnections.size() > 1
               && now - pooledConnections.front()->connection().idleSince() > SurplusIdleTimeout)
            pooledConnections.pop_front();
        next = pooledConnections.empty() ? idle_.erase(next) : std::next(next);
    }
}

} // namespace Services
