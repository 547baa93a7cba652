#include "LibQuery/Hedging/Simulation.h"

#include <algorithm>
#include <cmath>

namespace {

constexpr Base::Duration ObservationInterval = Base::milliseconds(500);
constexpr std::uint64_t IndexVersion = 7;

Base::Duration fromMilliseconds(double value)
{
    return Base::Duration(static_cast<Base::Duration::rep>(value * 1000.0));
}

DocumentShape shapeOf(const SimulationOptions &options)
{
    return {.shards = options.shards,
            .replicas = options.replicas,
            .slots = options.slots,
            .maxQueries = 100000,
            .budget = options.budget,
            .deadline = fromMilliseconds(options.deadline)};
}

} // namespace

double SimulationResult::quantile(double fraction) const
{
    if (latencies.empty())
        return 0.0;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(latencies.size())));
    return latencies[std::clamp<std::size_t>(rank, 1, latencies.size()) - 1];
}

Simulation::Simulation(const SimulationOptions &options)
    : options_(options)
    , document_(shapeOf(options))
    , core_({"e1", 1, options.seed})
    , arrivals_(options.seed)
{
    document_.install(now_, core_);
}

SimulationResult Simulation::run()
{
    schedule({}, EventKind::Observe);
    schedule(fromMilliseconds(1.0), EventKind::Query);
    while (sentQueries_ < options_.queries || core_.busy()) {
        const auto wake = core_.nextWake();
        if (wake && (events_.empty() || *wake < events_.top().due)) {
            now_ = std::max(now_, *wake);
            core_.tick(now_);
        } else {
            const auto event = events_.top();
            events_.pop();
            now_ = event.due;
            handle(event);
        }
        drain();
    }
    std::sort(result_.latencies.begin(), result_.latencies.end());
    result_.completeFraction /= options_.queries;
    result_.statistics = core_.statistics();
    const auto first = static_cast<double>(result_.statistics.firstAttempts);
    result_.extraAttempts = std::max(0.0, static_cast<double>(startedAttempts_) / first - 1.0);
    result_.extraWork = unusedWork_ / usedWork_;
    return result_;
}

void Simulation::schedule(Base::Duration delay, EventKind kind, const std::string &attemptId)
{
    events_.push({now_ + delay, ++lastSequence_, kind, attemptId});
}

void Simulation::handle(const Event &event)
{
    switch (event.kind) {
    case EventKind::Query:
        return startQuery();
    case EventKind::Observe:
        return observeAll();
    case EventKind::Arrival:
        return enqueue(event.attemptId);
    case EventKind::Finish:
        return finish(event.attemptId);
    case EventKind::Reply:
        return reply(event.attemptId);
    case EventKind::Cancel:
        return cancel(event.attemptId);
    }
}

void Simulation::startQuery()
{
    const auto token = ++sentQueries_;
    queryStartedAt_[token] = now_;
    core_.acceptQuery(now_, makeQuery(token));
    if (sentQueries_ == options_.queries)
        return;
    const double mean = options_.medianService * std::exp(options_.sigma * options_.sigma / 2.0);
    const double rate = options_.utilisation * options_.replicas * options_.slots / mean;
    schedule(fromMilliseconds(std::exponential_distribution<double>(rate)(arrivals_)), EventKind::Query);
}

void Simulation::observeAll()
{
    for (const auto &share : document_.shares())
        document_.observe(now_, core_, observationOf(share.serverId));
    schedule(ObservationInterval, EventKind::Observe);
}

Wire::ServerObservation Simulation::observationOf(const std::string &serverId)
{
    auto observation = document_.healthy(serverId, {IndexVersion});
    observation.inFlight = servers_[serverId].busy;
    observation.queued = static_cast<std::uint32_t>(servers_[serverId].queue.size());
    return observation;
}

void Simulation::enqueue(const std::string &attemptId)
{
    auto &attempt = attempts_.at(attemptId);
    if (attempt.cancelled)
        return;
    attempt.arrivedAt = now_;
    const auto &serverId = attempt.action.request.serverId;
    servers_[serverId].queue.emplace(attempt.deadline, attemptId);
    startQueued(serverId);
}

void Simulation::startQueued(const std::string &serverId)
{
    auto &server = servers_[serverId];
    while (server.busy < options_.slots && !server.queue.empty()) {
        const auto attemptId = server.queue.begin()->second;
        server.queue.erase(server.queue.begin());
        auto &attempt = attempts_.at(attemptId);
        attempt.running = true;
        attempt.startedAt = now_;
        ++server.busy;
        ++startedAttempts_;
        schedule(serviceTime(attempt.action.request), EventKind::Finish, attemptId);
    }
}

void Simulation::finish(const std::string &attemptId)
{
    auto &attempt = attempts_.at(attemptId);
    if (!attempt.running)
        return;
    attempt.running = false;
    usedWork_ += Base::toMilliseconds(now_ - attempt.startedAt);
    --servers_[attempt.action.request.serverId].busy;
    startQueued(attempt.action.request.serverId);
    schedule(fromMilliseconds(options_.networkDelay), EventKind::Reply, attemptId);
}

void Simulation::cancel(const std::string &attemptId)
{
    auto &attempt = attempts_.at(attemptId);
    auto &server = servers_[attempt.action.request.serverId];
    server.queue.erase({attempt.deadline, attemptId});
    if (!attempt.running)
        return;
    attempt.running = false;
    unusedWork_ += Base::toMilliseconds(now_ - attempt.startedAt);
    --server.busy;
    startQueued(attempt.action.request.serverId);
}

void Simulation::reply(const std::string &attemptId)
{
    const auto &attempt = attempts_.at(attemptId);
    Wire::ExecuteSubrequestReply message;
    message.attemptId = attemptId;
    message.ok = true;
    message.indexVersion = IndexVersion;
    message.queueMicroseconds = (attempt.startedAt - attempt.arrivedAt).count();
    message.observation = observationOf(attempt.action.request.serverId);
    core_.subrequestReplied(now_, message);
}

Base::Duration Simulation::serviceTime(const Wire::ExecuteSubrequestRequest &request)
{
    // The same query, shard and attempt number gets the same time in every run with this seed.
    const auto key = request.requestId + "|" + request.shard;
    const auto number = attemptsByShard_[key]++;
    std::seed_seq sequence {options_.seed, static_cast<std::uint64_t>(std::hash<std::string>()(key)),
                            static_cast<std::uint64_t>(number)};
    std::mt19937 random(sequence);
    double time =
        std::lognormal_distribution<double>(std::log(options_.medianService), options_.sigma)(random);
    if (std::bernoulli_distribution(options_.stragglerFraction)(random))
        time *= options_.stragglerFactor;
    return fromMilliseconds(time);
}

void Simulation::drain()
{
    for (const auto &action : core_.takeActions()) {
        if (const auto *send = std::get_if<Query::SendSubrequest>(&action)) {
            const auto budget = Base::Duration(send->request.budgetMicroseconds);
            attempts_[send->request.attemptId] = {*send, now_ + budget, {}, {}, false, false};
            schedule(fromMilliseconds(options_.networkDelay), EventKind::Arrival, send->request.attemptId);
        } else if (const auto *stop = std::get_if<Query::CancelSubrequest>(&action)) {
            schedule(fromMilliseconds(options_.networkDelay), EventKind::Cancel, stop->attemptId);
        } else if (const auto *complete = std::get_if<Query::CompleteQuery>(&action)) {
            const auto *answer = std::get_if<Query::Answer>(&complete->completion);
            result_.completeFraction += answer != nullptr && answer->complete() ? 1.0 : 0.0;
            if (answer != nullptr)
                result_.latencies.push_back(Base::toMilliseconds(now_ - queryStartedAt_[complete->token]));
        }
    }
}
