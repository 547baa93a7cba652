#pragma once

#include "Services/Entry/BackendWorker.h"
#include "Services/Entry/StatusWorker.h"

#include <set>
#include <unordered_map>

namespace Services {

/// Carries out the owner's actions on backend servers. Used on the decision thread only.
class BackendConnector
{
public:
    explicit BackendConnector(BackendContext context)
        : context_(std::move(context))
    {
    }
    ~BackendConnector();
    BackendConnector(const BackendConnector &) = delete;
    BackendConnector &operator=(const BackendConnector &) = delete;

    void open(const Backend::OpenConnection &action);
    void close(const Backend::CloseConnection &action);
    void dispatch(const Backend::Dispatch &action);
    void cancel(const Backend::CancelAtServer &action);
    void poll(const Backend::PollStatus &action);

    /// Forgets a connection that has closed by itself.
    void forget(Backend::ConnectionId connection) { workers_.erase(connection); }

    /// Closes the extra connections of all other servers.
    void retainServers(const std::set<std::string> &serverIds);

private:
    StatusWorker &statusWorker(const std::string &serverId, const std::string &address);

    BackendContext context_;
    Base::SystemClock clock_;
    std::unordered_map<Backend::ConnectionId, std::shared_ptr<BackendWorker>> workers_;
    std::unordered_map<std::string, std::shared_ptr<StatusWorker>> statusWorkers_;
};

} // namespace Services
