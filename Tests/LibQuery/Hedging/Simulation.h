#pragma once

#include "LibQuery/TestDocument.h"

#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// Parameters of one run; times in milliseconds.
struct SimulationOptions
{
    std::uint64_t seed = 1;
    std::uint32_t queries = 20000;
    std::uint32_t shards = 50;
    std::uint32_t replicas = 2;
    std::uint32_t slots = 2;
    double utilisation = 0.4; ///< Of all slots, by first attempts without stragglers.
    double medianService = 10.0;
    double sigma = 0.3; ///< Of the logarithm of the service time.
    double stragglerFraction = 0.01;
    double stragglerFactor = 20.0;
    double networkDelay = 0.75; ///< One way between entry process and backend server.
    double budget = 0.02; ///< 0 switches hedging off.
    double deadline = 2000.0;
};

struct SimulationResult
{
    std::vector<double> latencies; ///< Of answered queries, ascending, in milliseconds.
    double completeFraction = 0.0; ///< Of all queries.
    double extraAttempts = 0.0; ///< Attempts started by servers beyond the first, as a fraction of the first.
    /// Server time spent on attempts whose reply was not used, as a fraction of the rest.
    double extraWork = 0.0;
    Query::Statistics statistics;

    double quantile(double fraction) const;
};

/// Runs QueryCore against simulated owners and backend servers on logical time.
class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options);
    SimulationResult run();

private:
    enum class EventKind : std::uint8_t { Query, Observe, Arrival, Finish, Reply, Cancel };

    struct Event
    {
        Base::Instant due {};
        std::uint64_t sequence = 0;
        EventKind kind = EventKind::Query;
        std::string attemptId;

        bool operator>(const Event &other) const
        {
            return std::pair(due, sequence) > std::pair(other.due, other.sequence);
        }
    };

    struct Server
    {
        std::uint32_t busy = 0;
        std::set<std::pair<Base::Instant, std::string>> queue; ///< By deadline.
    };

    struct Attempt
    {
        Query::SendSubrequest action;
        Base::Instant deadline {};
        Base::Instant arrivedAt {};
        Base::Instant startedAt {};
        bool running = false;
        bool cancelled = false;
    };

    void schedule(Base::Duration delay, EventKind kind, const std::string &attemptId = {});
    void handle(const Event &event);
    void startQuery();
    void observeAll();
    Wire::ServerObservation observationOf(const std::string &serverId);
    void enqueue(const std::string &attemptId);
    void startQueued(const std::string &serverId);
    void finish(const std::string &attemptId);
    void cancel(const std::string &attemptId);
    void reply(const std::string &attemptId);
    Base::Duration serviceTime(const Wire::ExecuteSubrequestRequest &request);
    void drain();

    SimulationOptions options_;
    TestDocument document_;
    Query::QueryCore core_;
    std::mt19937_64 arrivals_;
    Base::Instant now_ {};
    std::uint64_t lastSequence_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::unordered_map<std::string, Server> servers_;
    std::unordered_map<std::string, Attempt> attempts_;
    std::unordered_map<std::string, std::uint32_t> attemptsByShard_; ///< Keyed by request id and shard.
    std::unordered_map<Query::CallerToken, Base::Instant> queryStartedAt_;
    std::uint32_t sentQueries_ = 0;
    double usedWork_ = 0.0;
    double unusedWork_ = 0.0;
    std::uint64_t startedAttempts_ = 0;
    SimulationResult result_;
};
