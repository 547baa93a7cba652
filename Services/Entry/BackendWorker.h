#pragma once

#include "LibHttp/Client.h"
#include "Services/Entry/BackendContext.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Services {

/// One connection to one backend server with a thread of its own, because an exchange blocks.
class BackendWorker : public std::enable_shared_from_this<BackendWorker>
{
public:
    BackendWorker(BackendContext context, std::string serverId, std::string address,
                  Backend::ConnectionId connection);

    /// Starts the thread, which connects and reports the result.
    void start();

    /// Hands over one request; returns false when the connection is closed, and nothing is sent then.
    bool dispatch(Wire::ExecuteSubrequestRequest request, Base::Instant deadline);

    /// Closes the connection once a running exchange has ended; nothing more is reported.
    void close();

private:
    struct Job
    {
        Wire::ExecuteSubrequestRequest request;
        Base::Instant deadline;
    };

    void run();
    std::unique_ptr<Http::Client> connect();
    std::optional<Job> waitForJob();
    Backend::BackendReply exchange(Http::Client &client, const Job &job) const;
    std::optional<Base::Error> refusal(const Job &job) const;
    void reportClosed();

    BackendContext context_;
    std::string serverId_;
    std::string address_;
    Backend::ConnectionId connection_;
    Base::SystemClock clock_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<Job> job_;
    bool closed_ = false;
};

} // namespace Services
