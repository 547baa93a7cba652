#pragma once

#include "BackendStandIn/Behaviour.h"
#include "BackendStandIn/Connection.h"
#include "BackendStandIn/ExecutionLog.h"
#include "BackendStandIn/Listener.h"
#include "BackendStandIn/LoadReport.h"
#include "BackendStandIn/ServerCounters.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace StandIn {

/// What the document says about one server.
struct ServerSettings
{
    std::string id;
    std::string index;
    std::string address;
    std::uint32_t slots = 1;
    std::uint32_t connectionLimit = 1;
    Base::Duration connectTime {};
    std::set<std::string, std::less<>> shards;
};

/// One backend server that answers by the protocol of design section 8.
class SimulatedServer
{
public:
    SimulatedServer(EventLoop &loop, ExecutionLog &log, ServerSettings settings, Behaviour behaviour,
                    std::uint64_t seed);

    Base::Result<void> start();
    void setBehaviour(const Behaviour &behaviour);
    const Behaviour &behaviour() const { return behaviour_; }
    const ServerSettings &settings() const { return settings_; }
    const ServerCounters &counters() const { return counters_; }
    void resetCounters();

private:
    using WorkId = std::uint64_t;

    struct Work
    {
        std::shared_ptr<Connection> connection;
        HttpRequest request;
        std::string shard;
        std::uint64_t version = 0;
        std::size_t logPosition = 0;
        bool running = false;
        EventLoop::TimerId deadlineTimer = 0;
        EventLoop::TimerId serviceTimer = 0;
    };

    void accept(int socket);
    void handle(const std::shared_ptr<Connection> &connection, HttpRequest request);
    void handleQuery(const std::shared_ptr<Connection> &connection, HttpRequest request);
    HttpResponse cancelAttempt(std::string_view attemptId);
    HttpResponse statusResponse() const;

    /// The refusal of a request that cannot be taken now, or nothing.
    std::optional<HttpResponse> refusal(const HttpRequest &request, std::string_view shard);
    void enqueue(Work work);
    void startWaiting();
    void startWork(WorkId id, Work &work);
    void complete(WorkId id);
    void passDeadline(WorkId id);

    /// Removes the work, frees its slot and starts the next; `outcome` goes into the execution log.
    Work take(WorkId id, const std::string &outcome);
    HttpResponse answer(const Work &work) const;
    void dropEverything();
    void recordLoad();
    double load() const;
    std::uint32_t running() const;

    EventLoop &loop_;
    ExecutionLog &log_;
    ServerSettings settings_;
    Behaviour behaviour_;
    std::mt19937_64 random_;
    Listener listener_;
    std::map<Connection *, std::shared_ptr<Connection>> connections_;
    std::map<WorkId, Work> works_; ///< In order of arrival.
    WorkId lastWork_ = 0;
    std::uint32_t coldLeft_;
    Base::Instant drainingSince_ {};
    LoadReport loadReport_;
    ServerCounters counters_;
};

} // namespace StandIn
