#pragma once

#include "LibHttp/Client.h"
#include "Services/Entry/BackendContext.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Services {

/// The extra connection to one backend server for its status page and for cancellations, with a thread of
/// its own. The thread ends when there was nothing to do for some time.
class StatusWorker : public std::enable_shared_from_this<StatusWorker>
{
public:
    StatusWorker(BackendContext context, std::string serverId, std::string address);

    void start();

    /// Read the status page or cancel an attempt; return false when the thread has ended.
    bool poll();
    bool cancel(std::string attemptId);

    /// Ends the thread after the present exchange.
    void close();

    const std::string &address() const { return address_; }

private:
    struct Job
    {
        std::optional<std::string> cancelledAttempt; ///< Without it, the job reads the status page.
    };

    bool enqueue(Job job);
    void run();
    std::optional<Job> waitForJob();
    void perform(const Job &job);
    std::optional<Http::Response> exchange(const Http::Request &request);
    bool ensureConnected();

    BackendContext context_;
    std::string serverId_;
    std::string address_;
    std::unique_ptr<Http::Client> client_; ///< Used on the worker's thread only.
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Job> jobs_;
    bool pollQueued_ = false;
    bool closed_ = false;
};

} // namespace Services
