#include "Services/Entry/StatusWorker.h"

#include "Services/Entry/BackendProtocol.h"

#include <thread>

namespace Services {

namespace {

constexpr Base::Duration ConnectTimeout = Base::milliseconds(500);
constexpr Base::Duration ExchangeTimeout = Base::milliseconds(500);

/// Much longer than the interval of status polls, so the thread ends only for servers that are not owned.
constexpr Base::Duration IdleLimit = Base::seconds(4);

} // namespace

StatusWorker::StatusWorker(BackendContext context, std::string serverId, std::string address)
    : context_(std::move(context))
    , serverId_(std::move(serverId))
    , address_(std::move(address))
{
}

void StatusWorker::start()
{
    std::thread([self = shared_from_this()] { self->run(); }).detach();
}

bool StatusWorker::poll()
{
    return enqueue({});
}

bool StatusWorker::cancel(std::string attemptId)
{
    return enqueue({std::move(attemptId)});
}

bool StatusWorker::enqueue(Job job)
{
    {
        const std::lock_guard lock(mutex_);
        if (closed_)
            return false;
        if (job.cancelledAttempt) {
            // A cancellation frees a slot, so it goes before the status page.
            jobs_.push_front(std::move(job));
        } else if (!std::exchange(pollQueued_, true)) {
            jobs_.push_back(std::move(job));
        }
    }
    changed_.notify_one();
    return true;
}

void StatusWorker::close()
{
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
    }
    changed_.notify_one();
}

void StatusWorker::run()
{
    while (const auto job = waitForJob())
        perform(*job);
}

std::optional<StatusWorker::Job> StatusWorker::waitForJob()
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, IdleLimit, [this] { return !jobs_.empty() || closed_; });
    if (jobs_.empty()) {
        closed_ = true;
        return std::nullopt;
    }
    auto job = std::move(jobs_.front());
    jobs_.pop_front();
    if (!job.cancelledAttempt)
        pollQueued_ = false;
    return job;
}

void StatusWorker::perform(const Job &job)
{
    if (job.cancelledAttempt) {
        (void)exchange(makeCancelRequest(*job.cancelledAttempt));
        return;
    }
    const auto response = exchange(makeStatusRequest());
    auto status = response ? readBackendStatus(*response) : std::nullopt;
    context_.events->post([listener = context_.listener, serverId = serverId_, status = std::move(status)] {
        listener->statusPolled(serverId, status);
    });
}

bool StatusWorker::ensureConnected()
{
    if (client_ && client_->isUsable())
        return true;
    client_.reset();
    auto client = Http::Client::connect(address_, ConnectTimeout);
    if (client)
        client_ = std::move(*client);
    return client_ != nullptr;
}

std::optional<Http::Response> StatusWorker::exchange(const Http::Request &request)
{
    if (!ensureConnected())
        return std::nullopt;
    auto response = client_->exchange(request, ExchangeTimeout);
    if (!response) {
        client_.reset();
        return std::nullopt;
    }
    return std::move(*response);
}

} // namespace Services
