#include "BackendStandIn/SimulatedServer.h"

#include "LibBase/Digest.h"

#include <algorithm>
#include <fmt/format.h>
#include <unistd.h>

namespace StandIn {

namespace {

constexpr std::string_view ShardPrefix = "/shards/";
constexpr std::string_view QuerySuffix = "/query";
constexpr std::string_view AttemptPrefix = "/attempts/";

HttpResponse notRun(int status, const std::string &reason)
{
    return {status, {{"X-Run", "0"}, {"X-Reason", reason}}, {}};
}

bool isQuery(const HttpRequest &request)
{
    const std::string_view path = request.path;
    return request.method == "POST" && path.starts_with(ShardPrefix) && path.ends_with(QuerySuffix)
           && path.size() > ShardPrefix.size() + QuerySuffix.size();
}

std::string shardOf(const HttpRequest &request)
{
    const auto length = request.path.size() - ShardPrefix.size() - QuerySuffix.size();
    return request.path.substr(ShardPrefix.size(), length);
}

/// Every answer to a query names its attempt, so that the owner can tell a late answer from its own.
void reply(Connection &connection, const HttpRequest &request, HttpResponse response)
{
    response.headers["X-Attempt-Id"] = request.header("x-attempt-id");
    connection.respond(response);
}

Base::Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace

SimulatedServer::SimulatedServer(EventLoop &loop, ExecutionLog &log, ServerSettings settings,
                                 Behaviour behaviour, std::uint64_t seed)
    : loop_(loop)
    , log_(log)
    , settings_(std::move(settings))
    , behaviour_(std::move(behaviour))
    , random_(seed)
    , listener_(loop, settings_.address, [this](int socket) { accept(socket); })
    , coldLeft_(behaviour_.coldRequests)
{
}

Base::Result<void> SimulatedServer::start()
{
    return listener_.open();
}

void SimulatedServer::resetCounters()
{
    counters_ = {};
    counters_.peakRequests = static_cast<std::uint32_t>(works_.size());
    counters_.peakConnections = static_cast<std::uint32_t>(connections_.size());
}

void SimulatedServer::setBehaviour(const Behaviour &behaviour)
{
    const auto previous = std::exchange(behaviour_, behaviour);
    if (previous.up && !behaviour.up)
        dropEverything();
    if (!previous.up && behaviour.up)
        (void)listener_.open();
    if (!previous.draining && behaviour.draining)
        drainingSince_ = loop_.now();
    if (previous.versions != behaviour.versions || previous.up != behaviour.up)
        coldLeft_ = behaviour.coldRequests;
}

void SimulatedServer::dropEverything()
{
    listener_.close();
    while (!works_.empty())
        (void)take(works_.begin()->first, "failed");
    while (!connections_.empty()) {
        const auto connection = connections_.begin()->second;
        connection->close();
    }
}

void SimulatedServer::accept(int socket)
{
    ++counters_.connectionsAccepted;
    const auto open = static_cast<std::uint32_t>(connections_.size()) + 1;
    counters_.peakConnections = std::max(counters_.peakConnections, open);
    if (open > settings_.connectionLimit) {
        ++counters_.refusedConnections;
        ::close(socket);
        return;
    }
    auto connection = std::make_shared<Connection>(
        loop_, socket,
        [this](const std::shared_ptr<Connection> &from, HttpRequest request) {
            handle(from, std::move(request));
        },
        [this](Connection &closed) { connections_.erase(&closed); });
    connections_[connection.get()] = connection;
    connection->start(settings_.connectTime);
}

void SimulatedServer::handle(const std::shared_ptr<Connection> &connection, HttpRequest request)
{
    if (isQuery(request)) {
        handleQuery(connection, std::move(request));
        return;
    }
    const std::string_view path = request.path;
    if (request.method == "GET" && path == "/status")
        connection->respond(statusResponse());
    else if (request.method == "DELETE" && path.starts_with(AttemptPrefix))
        connection->respond(cancelAttempt(path.substr(AttemptPrefix.size())));
    else
        connection->respond(notRun(404, "unknown_path"));
}

std::optional<HttpResponse> SimulatedServer::refusal(const HttpRequest &request, std::string_view shard)
{
    const auto version = request.number("x-index-version");
    const auto deadline = request.number("x-deadline-ms");
    if (!version || !deadline || request.header("x-request-id").empty()
        || request.header("x-attempt-id").empty())
        return notRun(400, "missing_header");
    if (behaviour_.draining) {
        ++counters_.refusedDraining;
        counters_.lastArrivalWhileDrainingMs = Base::toMilliseconds(loop_.now() - drainingSince_);
        return notRun(503, "draining");
    }
    if (settings_.shards.find(shard) == settings_.shards.end())
        return notRun(404, "unknown_shard");
    const auto &offered = behaviour_.versions;
    if (std::find(offered.begin(), offered.end(), *version) == offered.end()) {
        ++counters_.refusedVersion;
        return notRun(409, "version");
    }
    if (*deadline == 0)
        return notRun(504, "deadline");
    if (works_.size() >= settings_.slots + behaviour_.queueLimit) {
        ++counters_.shed;
        return notRun(503, "shed");
    }
    return std::nullopt;
}

void SimulatedServer::handleQuery(const std::shared_ptr<Connection> &connection, HttpRequest request)
{
    ++counters_.requests;
    Work work;
    work.shard = shardOf(request);
    work.version = request.number("x-index-version").value_or(0);
    const auto refused = refusal(request, work.shard);
    Execution execution {std::string(request.header("x-attempt-id")), settings_.id, work.shard, work.version,
                         refused ? refused->headers.at("X-Reason") : "waiting"};
    work.logPosition = log_.add(std::string(request.header("x-request-id")),
                                request.header("x-idempotent") != "0", std::move(execution));
    if (refused) {
        reply(*connection, request, *refused);
        return;
    }
    work.connection = connection;
    work.request = std::move(request);
    enqueue(std::move(work));
}

void SimulatedServer::enqueue(Work work)
{
    const auto id = ++lastWork_;
    const auto deadline = Base::milliseconds(work.request.number("x-deadline-ms").value_or(0));
    work.deadlineTimer = loop_.after(deadline, [this, id] { passDeadline(id); });
    works_.emplace(id, std::move(work));
    counters_.peakRequests = std::max(counters_.peakRequests, static_cast<std::uint32_t>(works_.size()));
    startWaiting();
    recordLoad();
}

std::uint32_t SimulatedServer::running() const
{
    return static_cast<std::uint32_t>(
        std::count_if(works_.begin(), works_.end(), [](const auto &entry) { return entry.second.running; }));
}

void SimulatedServer::startWaiting()
{
    auto free = settings_.slots - std::min(settings_.slots, running());
    for (auto &[id, work] : works_) {
        if (free == 0)
            return;
        if (work.running)
            continue;
        startWork(id, work);
        --free;
    }
}

void SimulatedServer::startWork(WorkId id, Work &work)
{
    const bool cold = coldLeft_ > 0;
    coldLeft_ -= cold ? 1 : 0;
    const double service = behaviour_.drawServiceMs(random_, cold);
    work.running = true;
    work.serviceTimer = loop_.after(fromMilliseconds(service), [this, id] { complete(id); });
    ++counters_.started;
    counters_.busyMs += service;
    log_.start(std::string(work.request.header("x-request-id")), work.logPosition, service);
}

SimulatedServer::Work SimulatedServer::take(WorkId id, const std::string &outcome)
{
    auto work = std::move(works_.at(id));
    works_.erase(id);
    loop_.cancelTimer(work.deadlineTimer);
    loop_.cancelTimer(work.serviceTimer);
    log_.finish(std::string(work.request.header("x-request-id")), work.logPosition, outcome);
    startWaiting();
    recordLoad();
    return work;
}

HttpResponse SimulatedServer::answer(const Work &work) const
{
    const nlohmann::json body {
        {"server", settings_.id},
        {"index", settings_.index},
        {"shard", work.shard},
        {"index_version", work.version},
        {"request_id", work.request.header("x-request-id")},
        {"body_digest", Base::sha256Hex(Base::asBytes(work.request.body))},
    };
    return {200,
            {{"X-Index-Version", fmt::format("{}", work.version)}, {"X-Load", fmt::format("{:.3f}", load())}},
            body.dump()};
}

void SimulatedServer::complete(WorkId id)
{
    std::uniform_real_distribution<double> unit(0, 1);
    const double draw = unit(random_);
    const bool fails = draw < behaviour_.failProbability;
    const bool drops = !fails && draw < behaviour_.failProbability + behaviour_.dropProbability;
    const auto work = take(id, fails || drops ? "failed" : "done");
    ++counters_.completed;
    if (behaviour_.silent)
        return;
    if (drops)
        work.connection->close();
    else if (fails)
        reply(*work.connection, work.request, {500, {{"X-Run", "1"}}, {}});
    else
        reply(*work.connection, work.request, answer(work));
}

void SimulatedServer::passDeadline(WorkId id)
{
    const auto work = take(id, "deadline");
    ++counters_.deadlinePassed;
    if (!behaviour_.silent)
        reply(*work.connection, work.request,
              work.running ? HttpResponse {504, {{"X-Run", "1"}}, {}} : notRun(504, "deadline"));
}

HttpResponse SimulatedServer::cancelAttempt(std::string_view attemptId)
{
    const auto found = std::find_if(works_.begin(), works_.end(), [&](const auto &entry) {
        return entry.second.request.header("x-attempt-id") == attemptId;
    });
    if (found == works_.end())
        return notRun(404, "unknown_attempt");
    const auto work = take(found->first, "cancelled");
    ++counters_.cancelled;
    reply(*work.connection, work.request,
          work.running ? HttpResponse {499, {{"X-Run", "1"}}, {}} : notRun(499, "cancelled"));
    return {200, {}, {}};
}

void SimulatedServer::recordLoad()
{
    loadReport_.record(loop_.now(), static_cast<double>(works_.size()) / settings_.slots);
}

double SimulatedServer::load() const
{
    if (behaviour_.reportedLoad >= 0)
        return behaviour_.reportedLoad;
    return loadReport_.reported(loop_.now(), fromMilliseconds(behaviour_.loadLagMs));
}

HttpResponse SimulatedServer::statusResponse() const
{
    const nlohmann::json body {
        {"versions", behaviour_.versions},
        {"draining", behaviour_.draining},
        {"in_flight", running()},
        {"queued", works_.size() - running()},
        {"load", load()},
        {"shards", settings_.shards},
    };
    return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace StandIn
