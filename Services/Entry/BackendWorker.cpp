#include "Services/Entry/BackendWorker.h"

#include "LibBase/Log.h"
#include "Services/Entry/BackendProtocol.h"

#include <thread>

namespace Services {

using Base::ErrorKind;

namespace {

constexpr Base::Duration ConnectTimeout = Base::seconds(1);

/// A connection is given up this long after the deadline of its request. The server ends the request at the
/// deadline itself, so its slot is taken as free afterwards.
constexpr Base::Duration ReplyGrace = Base::seconds(1);

/// HTTP servers commonly close a connection after 5 s without a request. A request that meets the closing
/// would count as perhaps run, so an idle connection is replaced before that.
constexpr Base::Duration IdleLimit = Base::seconds(4);

Backend::BackendReply notSent(Base::Error error)
{
    return tl::unexpected(Backend::BackendFailure {std::move(error), false});
}

} // namespace

BackendWorker::BackendWorker(BackendContext context, std::string serverId, std::string address,
                             Backend::ConnectionId connection)
    : context_(std::move(context))
    , serverId_(std::move(serverId))
    , address_(std::move(address))
    , connection_(connection)
{
}

void BackendWorker::start()
{
    std::thread([self = shared_from_this()] { self->run(); }).detach();
}

bool BackendWorker::dispatch(Wire::ExecuteSubrequestRequest request, Base::Instant deadline)
{
    {
        const std::lock_guard lock(mutex_);
        if (closed_)
            return false;
        job_ = Job {std::move(request), deadline};
    }
    changed_.notify_one();
    return true;
}

void BackendWorker::close()
{
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
    }
    changed_.notify_one();
}

void BackendWorker::run()
{
    const auto client = connect();
    if (!client)
        return;
    while (auto job = waitForJob()) {
        auto reply = exchange(*client, *job);
        const bool usable = client->isUsable();
        context_.events->post([listener = context_.listener, attemptId = std::move(job->request.attemptId),
                               reply = std::move(reply),
                               usable] { listener->replied(attemptId, reply, usable); });
    }
}

std::unique_ptr<Http::Client> BackendWorker::connect()
{
    const auto startedAt = clock_.now();
    auto client = Http::Client::connect(address_, ConnectTimeout);
    if (!client) {
        reportClosed();
        return nullptr;
    }
    context_.metrics
        ->histogram("daisyroute_backend_connect_seconds", "Time to open a connection.",
                    {{"server", serverId_}})
        .record(clock_.now() - startedAt);
    context_.events->post([listener = context_.listener, serverId = serverId_, connection = connection_] {
        listener->connectionOpened(serverId, connection);
    });
    return std::move(*client);
}

void BackendWorker::reportClosed()
{
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
    }
    context_.events->post([listener = context_.listener, serverId = serverId_, connection = connection_] {
        listener->connectionClosed(serverId, connection);
    });
}

std::optional<BackendWorker::Job> BackendWorker::waitForJob()
{
    std::unique_lock lock(mutex_);
    const bool changed = changed_.wait_for(lock, IdleLimit, [this] { return job_ || closed_; });
    if (job_)
        return std::exchange(job_, std::nullopt);
    if (!changed) {
        closed_ = true;
        lock.unlock();
        reportClosed();
    }
    return std::nullopt;
}

std::optional<Base::Error> BackendWorker::refusal(const Job &job) const
{
    if (!context_.lease->isValid())
        return Base::Error {ErrorKind::LeaseExpired, {}};
    if (clock_.now() >= job.deadline)
        return Base::Error {ErrorKind::DeadlineExceeded, "the deadline passed before the request was sent"};
    return std::nullopt;
}

Backend::BackendReply BackendWorker::exchange(Http::Client &client, const Job &job) const
{
    if (auto error = refusal(job))
        return notSent(std::move(*error));
    const auto left = job.deadline - clock_.now();
    auto response = client.exchange(makeBackendRequest(job.request, left), left + ReplyGrace);
    if (!response) {
        const bool sent = response.error().sendState == Http::SendState::Sent;
        return tl::unexpected(Backend::BackendFailure {std::move(response.error().error), sent});
    }
    return readBackendResponse(std::move(*response));
}

} // namespace Services
