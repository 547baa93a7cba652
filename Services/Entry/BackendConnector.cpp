#include "Services/Entry/BackendConnector.h"

namespace Services {

BackendConnector::~BackendConnector()
{
    for (const auto &[connection, worker] : workers_)
        worker->close();
    for (const auto &[serverId, worker] : statusWorkers_)
        worker->close();
}

void BackendConnector::open(const Backend::OpenConnection &action)
{
    auto worker =
        std::make_shared<BackendWorker>(context_, action.serverId, action.address, action.connectionId);
    worker->start();
    workers_[action.connectionId] = std::move(worker);
}

void BackendConnector::close(const Backend::CloseConnection &action)
{
    const auto node = workers_.extract(action.connectionId);
    if (!node.empty())
        node.mapped()->close();
}

void BackendConnector::dispatch(const Backend::Dispatch &action)
{
    const auto deadline = clock_.now() + Base::Duration(action.request.budgetMicroseconds);
    const auto found = workers_.find(action.connectionId);
    if (found != workers_.end() && found->second->dispatch(action.request, deadline))
        return;
    // The connection has closed by itself, and its report is still in the queue.
    const Backend::BackendFailure failure {{Base::ErrorKind::BackendUnreachable, "the connection is closed"},
                                           false};
    context_.events->post([listener = context_.listener, attemptId = action.request.attemptId, failure] {
        listener->replied(attemptId, tl::unexpected(failure), false);
    });
}

StatusWorker &BackendConnector::statusWorker(const std::string &serverId, const std::string &address)
{
    auto &worker = statusWorkers_[serverId];
    if (worker && worker->address() != address) {
        worker->close();
        worker.reset();
    }
    if (!worker) {
        worker = std::make_shared<StatusWorker>(context_, serverId, address);
        worker->start();
    }
    return *worker;
}

void BackendConnector::cancel(const Backend::CancelAtServer &action)
{
    if (statusWorker(action.serverId, action.address).cancel(action.attemptId))
        return;
    statusWorkers_.erase(action.serverId);
    statusWorker(action.serverId, action.address).cancel(action.attemptId);
}

void BackendConnector::poll(const Backend::PollStatus &action)
{
    if (statusWorker(action.serverId, action.address).poll())
        return;
    statusWorkers_.erase(action.serverId);
    statusWorker(action.serverId, action.address).poll();
}

void BackendConnector::retainServers(const std::set<std::string> &serverIds)
{
    std::erase_if(statusWorkers_, [&](const auto &item) {
        if (serverIds.contains(item.first))
            return false;
        item.second->close();
        return true;
    });
}

} // namespace Services
