#include "Services/Gateway/GatewayProcess.h"

#include "LibBase/AddressText.h"
#include "LibBase/Compression.h"
#include "LibBase/Incarnation.h"
#include "LibForward/GatherLoad.h"
#include "Services/Common/MetricsEndpoint.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Services {

namespace {

using Importance = Base::EventLog::Importance;

constexpr Base::Duration TickInterval = Base::milliseconds(250);
/// Maximum age of a look-up result. Each look-up delays a request, by a second if the VM asked has no power;
/// a longer age would keep callers on a lost VM. A leaving gateway continues to serve for this time.
constexpr Base::Duration LookupMaxAge = Base::milliseconds(5000);
/// Maximum number of gateways advertised to callers. With more, each would get too few requests to keep its
/// connections to the backend servers open; the others are on standby.
constexpr std::size_t MaxAdvertisedGateways = 24;
/// Time a new gateway waits for a registry with a leader before it accepts a possibly outdated configuration.
constexpr Base::Duration StaleConfigurationDelay = Base::milliseconds(500);
/// Fractions of the shutdown grace after which idle connections are closed and new requests refused, requests
/// in flight are ended, and the process exits. Callers may use an old look-up result for several seconds, so
/// most of the grace is spent serving.
constexpr double StopAcceptingFraction = 0.84;
constexpr double EndRequestsFraction = 0.93;
constexpr double ExitFraction = 0.96;
/// Interval at which the shutdown steps above are checked.
constexpr Base::Duration ShutdownStepInterval = Base::milliseconds(40);
constexpr Base::Duration EndpointStopTimeout = Base::milliseconds(100);
/// A server that has announced its end gets work as a last resort for its drain time divided by this; the
/// rest is for work that it has begun and for requests that wait here.
constexpr int LeavingUseDivisor = 2;
/// Number of gateways assumed to share connections and budgets until the directory is known.
constexpr std::size_t AssumedGateways = 12;
/// Lower bound, so that a briefly incomplete directory does not make the rest take all connections.
constexpr std::size_t MinGatewayCount = 5;

Edge::ResponseMessage emptyResponse(int status)
{
    Edge::ResponseMessage response;
    response.status = status;
    return response;
}

} // namespace

Base::Result<std::unique_ptr<GatewayProcess>> GatewayProcess::create(const std::string &settingsPath,
                                                                     const std::string &metricsPort,
                                                                     const Adapter::PlatformAdapter &adapter)
{
    auto settings = readNodeSettings(settingsPath);
    if (!settings)
        return tl::unexpected(settings.error());
    std::unique_ptr<GatewayProcess> process(new GatewayProcess(settingsPath, std::move(*settings), adapter));
    if (auto started = process->start(metricsPort); !started)
        return tl::unexpected(started.error());
    return process;
}

GatewayProcess::GatewayProcess(const std::string &settingsPath, NodeSettings settings,
                               const Adapter::PlatformAdapter &adapter)
    : settingsPath_(settingsPath)
    , settings_(std::move(settings))
    , adapter_(adapter)
    , events_("gateway", STDOUT_FILENO)
    , settingsWatch_(settingsPath)
    , incarnation_(Base::makeIncarnation())
    , startedAt_(clock_.now())
    , watchers_([this](Base::Instant now, const Wire::WatchRequest &request, Base::Instant arrivedAt) {
        return watchReply(now, request, arrivedAt);
    })
    , naming_(settings_.shareCallersByLoad ? Registry::GatewayNaming::Rule::ByShare
                                           : Registry::GatewayNaming::Rule::ByClass)
{
    if (settings_.shareCallersByLoad)
        ownLoad_ = std::make_unique<OwnLoad>(events_, metrics_);
}

GatewayProcess::~GatewayProcess()
{
    if (endpoint_)
        endpoint_->shutDown(EndpointStopTimeout);
}

Forward::ForwardOptions GatewayProcess::forwardOptions() const
{
    return {settings_.dataCentre,
            incarnation_,
            settings_.extraLoadRatio,
            settings_.extraLoadSlack,
            settings_.serverDrain / LeavingUseDivisor,
            settings_.learnServerLimits};
}

Base::Result<void> GatewayProcess::start(const std::string &metricsPort)
{
    guard_ = std::make_unique<CallerGuard>(settings_, events_, metrics_.registry());
    Peer::EndpointOptions options;
    options.listenAddress = settings_.gatewayListenAddress();
    options.sharedSecret = settings_.clusterKey;
    options.handler = [this](Wire::Method method, const Base::Bytes &payload,
                             const std::shared_ptr<Peer::Responder> &responder) {
        if (method != Wire::Method::WatchRegistry)
            return responder->fail({Base::ErrorKind::InvalidRequest, "a gateway does not serve this call"});
        const auto request = Wire::decode<Wire::WatchRequest>(payload);
        if (!request)
            return responder->fail(request.error());
        loop_.post([this, request = *request, responder] { handleWatch(request, responder); });
    };
    auto endpoint = Peer::Endpoint::create(std::move(options));
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    endpoint_ = std::move(*endpoint);
    forwarder_ = std::make_unique<Forwarder>(loop_, adapter_, events_, metrics_, forwardOptions(),
                                             settings_.keyRemovalBound, guard_->memory());
    forwarder_->setGatewayCount(AssumedGateways);
    allowances_ =
        std::make_unique<AllowanceClient>(loop_, *endpoint_, events_, metrics_, incarnation_, [this] {
            return watcher_ && watcher_->isWatchingRegistry() ? watcher_->target() : std::string();
        });
    allowances_->setGatewayCount(AssumedGateways);
    forwarder_->setAllowances(allowances_.get());
    coldServerUnits_ = std::make_unique<ColdServerUnits>(*allowances_);
    forwarder_->setColdUnits(coldServerUnits_.get());
    // Load pattern: a tenant at its limit makes the leader answer many times a second while much work waits.
    allowances_->setArrivalHandler([this] {
        if (coldServerUnits_->takeMissed())
            forwarder_->unitsArrived();
    });

    const auto serve = [this](std::unique_ptr<Edge::CallerServer> &server, Door door,
                              const std::string &address, Edge::CallerHandler handler,
                              Edge::BodyFilter usesBody = {}) -> Base::Result<void> {
        auto created = serveAt(loop_, *guard_, door, address, std::move(handler), std::move(usesBody));
        if (!created)
            return tl::unexpected(created.error());
        server = std::move(*created);
        return {};
    };
    auto metricsServer = serveMetrics(loop_, metrics_.registry(), settings_.listenIp, metricsPort,
                                      [this] { return describeStatus(); }, *guard_,
                                      {std::string(ExplainPath), settings_.clusterKey,
                                       [this](std::string_view question) { return explain(question); }});
    if (!metricsServer)
        return tl::unexpected(metricsServer.error());
    metricsServer_ = std::move(*metricsServer);
    return serve(
               callerServer_, Door::Callers, settings_.callerAddress,
               [this](Edge::RequestMessage &request, const Edge::CallerExchange &caller) {
                   forwarder_->handle(std::move(request), caller);
               },
               [this](const Edge::RequestMessage &head) { return forwarder_->usesBody(head); })
        .and_then([&] {
            return serve(readinessServer_, Door::Readiness, settings_.readinessAddress,
                         [this](const Edge::RequestMessage &request, const Edge::CallerExchange &caller) {
                             const bool known = adapter_.classify(request.method, request.path())
                                                == Adapter::Call::CheckReadiness;
                             caller.respond(emptyResponse(!known ? 404 : isReady() ? 200 : 503));
                         });
        })
        .and_then([&] {
            return serve(lookupServer_, Door::Lookups, settings_.lookupAddress,
                         [this](const Edge::RequestMessage &request, const Edge::CallerExchange &caller) {
                             handleLookup(request, caller);
                         });
        });
}

void GatewayProcess::run()
{
    events_.write(clock_.now(), Importance::Notable, "started",
                  {{"node", settings_.nodeId},
                   {"incarnation", incarnation_},
                   {"data_centre", settings_.dataCentre},
                   {"caller_address", settings_.callerAddress},
                   {"seeds", fmt::format("{}", fmt::join(settings_.seeds, ","))}});
    watcher_ = std::make_unique<RegistryWatcher>(
        loop_, *endpoint_, events_, RegistryWatcher::OwnGateway {settings_.nodeId, settings_.dataCentre},
        [this] { return watchRequest(); },
        [this](const Wire::WatchReply &reply, bool fresh, Base::Instant sentAt) {
            applyReply(reply, fresh, sentAt);
        });
    for (const auto &seed : settings_.seeds)
        watcher_->addRegistries({settings_.registryPeerAddress(seed)});
    loop_.onSignals({SIGTERM, SIGINT, SIGHUP}, [this](int signal) {
        if (signal == SIGHUP)
            reloadSettings(true);
        else
            beginLeaving();
    });
    loop_.repeat(TickInterval, [this] { tick(); });
    watcher_->start();
    loop_.run();
    events_.write(clock_.now(), Importance::Notable, "stopped",
                  {{"node", settings_.nodeId}, {"requests_cut_off", forwarder_->requestsInFlight()}});
    events_.flush();
}

bool GatewayProcess::isReady() const
{
    return !leavingSince_ && forwarder_->routes() && forwarder_->hasServers();
}

Wire::GatewayState GatewayProcess::state() const
{
    if (leavingSince_)
        return Wire::GatewayState::Leaving;
    return isReady() ? Wire::GatewayState::Serving : Wire::GatewayState::Joining;
}

Wire::WatchRequest GatewayProcess::watchRequest() const
{
    Wire::WatchRequest request;
    request.gateway = settings_.gatewayRecord(incarnation_, state());
    request.gateway.suitsGathers = suitsGathers_;
    if (ownLoad_)
        request.gateway.callerShare = ownLoad_->callerShare();
    request.configurationVersion = forwarder_->routes() ? forwarder_->routes()->version() : 0;
    request.serverListDigest = serverList_.digest();
    request.serverListAgeMs = serverList_.ageMs(clock_.now());
    request.directoryDigest = directory_.digest();
    request.evacuationRevision = evacuationRevision_;
    request.relayed = relayedGateways_.firstHandReports(clock_.now());
    if (forwarder_->authenticator().needsConfirmations())
        request.confirmationAgeMs =
            forwarder_->authenticator().currency().confirmedBeforeMs(clock_.now()).value_or(UINT32_MAX);
    return request;
}

void GatewayProcess::handleWatch(const Wire::WatchRequest &request,
                                 const std::shared_ptr<Peer::Responder> &responder)
{
    const auto now = clock_.now();
    relayedGateways_.report(now, request.gateway);
    watchers_.add(now, request, responder);
}

Wire::WatchReply GatewayProcess::watchReply(Base::Instant now, const Wire::WatchRequest &request,
                                            Base::Instant arrivedAt) const
{
    Wire::WatchReply reply;
    // Only a gateway that watches a registry reports a leader; otherwise gateways without a registry would
    // confirm each other.
    reply.leaderKnown = watcher_ && watcher_->isWatchingRegistry();
    reply.leaderSilentMs = static_cast<std::uint32_t>((now - leaderHeardAt_) / Base::milliseconds(1));
    reply.configurationVersion = forwarder_->routes() ? forwarder_->routes()->version() : 0;
    if (reply.configurationVersion > request.configurationVersion)
        reply.configurationText = configurationText_;
    reply.evacuationRevision = evacuationRevision_;
    if (evacuationRevision_ > request.evacuationRevision)
        reply.evacuatedDataCentres = evacuatedDataCentres_;
    reply.serverList = serverList_.copyFor(now, request.serverListDigest, request.serverListAgeMs);
    reply.directory = directory_.copyFor(request.directoryDigest);
    reply.leaderAddress = leaderAddress_;
    if (request.confirmationAgeMs && forwarder_->authenticator().needsConfirmations())
        reply.confirmedBeforeMs = forwarder_->authenticator().currency().confirmedBeforeMs(arrivedAt);
    return reply;
}

std::string GatewayProcess::peerAddressOf(const Wire::GatewayRecord &gateway) const
{
    const auto parts = Base::parseAddress(gateway.callerAddress);
    return parts ? fmt::format("{}:{}", parts->ip, settings_.gatewayPort) : std::string();
}

void GatewayProcess::applyReply(const Wire::WatchReply &reply, bool fresh, Base::Instant sentAt)
{
    const auto before = state();
    if (fresh)
        leaderHeardAt_ = clock_.now() - Base::milliseconds(reply.leaderSilentMs);
    if (!reply.leaderAddress.empty())
        leaderAddress_ = reply.leaderAddress;
    if (fresh)
        allowances_->setLeader(reply.leaderAddress);
    applyEvacuations(reply);
    applyConfiguration(reply, fresh);
    applyConfirmation(reply, fresh, sentAt);
    if (reply.serverList)
        applyServerList(*reply.serverList);
    applyDirectory(reply);
    watchers_.answer(clock_.now());
    if (state() != before)
        events_.write(clock_.now(), Importance::Notable, "state_changed",
                      {{"ready", isReady()}, {"leaving", leavingSince_.has_value()}});
}

void GatewayProcess::applyConfiguration(const Wire::WatchReply &reply, bool fresh)
{
    const auto held = forwarder_->routes() ? forwarder_->routes()->version() : 0;
    if (reply.configurationText.empty() || reply.configurationVersion <= held)
        return;
    const auto now = clock_.now();
    // A registry without a leader may hold an outdated configuration; after a delay that is better than none.
    if (held == 0 && !fresh && now - startedAt_ < StaleConfigurationDelay)
        return;
    const auto previous = forwarder_->routes();
    auto configuration =
        Base::decompress(reply.configurationText, MaxConfigurationBytes)
            .and_then([&](const std::string &text) {
                return adapter_.decodeConfiguration(text, previous ? &previous->configuration() : nullptr);
            });
    if (!configuration) {
        if (std::exchange(refusedConfiguration_, configuration.error().detail) != refusedConfiguration_)
            events_.write(now, Importance::Notable, "configuration_refused",
                          {{"version", reply.configurationVersion}, {"detail", refusedConfiguration_}});
        return;
    }
    Edge::EdgeLimits limits;
    limits.maxHeaderBytes = configuration->limits.maxHeaderBytes;
    limits.maxBodyBytes = configuration->limits.maxBodyBytes;
    limits.headerTimeout = configuration->limits.headerTimeout;
    limits.idleTimeout = configuration->limits.idleTimeout;
    limits.maxConnections = guard_->maxConnections(Door::Callers);
    callerServer_->setLimits(limits);
    configurationText_ = reply.configurationText;
    const auto routes = configuration->routes.size();
    suitsGathers_ = Forward::suitsGathers(*configuration, {settings_.processorShare, settings_.linkMegabits});
    forwarder_->setRoutes(std::make_shared<const Route::RouteTable>(std::move(*configuration)));
    events_.write(now, Importance::Notable, "configuration_in_force",
                  {{"version", reply.configurationVersion},
                   {"version_before", held},
                   {"routes", routes},
                   {"suits_gathers", suitsGathers_},
                   {"fresh", fresh},
                   {"leader_silent_ms", reply.leaderSilentMs}});
}

void GatewayProcess::applyConfirmation(const Wire::WatchReply &reply, bool fresh, Base::Instant sentAt)
{
    const auto &authenticator = forwarder_->authenticator();
    if (authenticator.needsConfirmations() && reply.confirmedBeforeMs)
        forwarder_->confirmConfiguration(reply.configurationVersion,
                                         sentAt - Base::milliseconds(*reply.confirmedBeforeMs));
    else if (authenticator.isActive() && !authenticator.needsConfirmations() && fresh)
        forwarder_->confirmConfiguration(reply.configurationVersion, leaderHeardAt_);
}

/// Registries apply only what is durable, so the highest revision holds, whoever tells it.
void GatewayProcess::applyEvacuations(const Wire::WatchReply &reply)
{
    if (reply.evacuationRevision <= evacuationRevision_)
        return;
    const auto now = clock_.now();
    evacuationRevision_ = reply.evacuationRevision;
    evacuatedDataCentres_ = reply.evacuatedDataCentres;
    forwarder_->setEvacuated(now, {evacuatedDataCentres_.begin(), evacuatedDataCentres_.end()});
    events_.write(now, Importance::Notable, "evacuation_in_force",
                  {{"revision", evacuationRevision_},
                   {"data_centres", fmt::format("{}", fmt::join(evacuatedDataCentres_, ","))},
                   {"servers", forwarder_->evacuatedServers()}});
}

void GatewayProcess::applyServerList(const Wire::PackedServerList &packed)
{
    const auto now = clock_.now();
    const auto list = Registry::unpack(packed);
    if (!list) {
        events_.write(now, Importance::Notable, "server_list_refused", {{"detail", list.error().detail}});
        return;
    }
    if (!serverList_.offer(now, *list, packed.servers)) {
        if (list->digest == serverList_.digest())
            forwarder_->confirmServers(now, serverList_.readAt());
        return;
    }
    forwarder_->setServers(now, *list);
    events_.write(now, Importance::Notable, "server_list_changed",
                  {{"servers", list->servers.size()}, {"age_ms", list->ageMs}, {"digest", list->digest}});
}

void GatewayProcess::applyDirectory(const Wire::WatchReply &reply)
{
    if (reply.directory.digest == directory_.digest())
        return;
    const auto before = directory_.gateways();
    const auto changed = directory_.apply(reply.directory);
    if (!changed)
        events_.write(clock_.now(), Importance::Notable, "directory_refused",
                      {{"detail", changed.error().detail}});
    if (!changed.value_or(false))
        return;
    applyGateways();
    if (Registry::haveSameGateways(before, directory_.gateways()))
        return;
    std::vector<std::string> others;
    for (const auto &gateway : directory_.gateways()) {
        if (gateway.gatewayId != settings_.nodeId)
            others.push_back(peerAddressOf(gateway));
    }
    watcher_->setGateways(std::move(others));
    events_.write(clock_.now(), Importance::Notable, "directory_changed",
                  {{"serving", directory_.gateways().size()}});
}

void GatewayProcess::applyGateways()
{
    naming_.setGateways(directory_.gateways(), MaxAdvertisedGateways);
    if (naming_.gatewaysInUse() == 0)
        return;
    forwarder_->setGatewayCount(std::max(naming_.gatewaysInUse(), MinGatewayCount));
    allowances_->setGatewayCount(naming_.gatewaysInUse());
}

void GatewayProcess::handleLookup(const Edge::RequestMessage &request, const Edge::CallerExchange &caller)
{
    if (adapter_.classify(request.method, request.path()) != Adapter::Call::LookUpGateways)
        return caller.respond(emptyResponse(404));
    std::vector<std::string> addresses;
    // Callers with keys are better served by any other gateway while this one cannot confirm them.
    const bool avoidsItself = leavingSince_ || !forwarder_->authenticator().mayServeKeys(clock_.now());
    for (const auto *gateway : naming_.nextAnswer()) {
        if (!avoidsItself || gateway->gatewayId != settings_.nodeId)
            addresses.push_back(gateway->callerAddress);
    }
    // Until the first directory arrives, this gateway knows only itself.
    if (addresses.empty() && isReady())
        addresses.push_back(settings_.callerAddress);
    if (addresses.empty())
        return caller.respond(emptyResponse(503));
    auto response = emptyResponse(200);
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = adapter_.encodeGateways(addresses, std::min(LookupMaxAge, settings_.lookupMaxAge));
    caller.respond(response);
}

void GatewayProcess::tick()
{
    const auto now = clock_.now();
    if (ownLoad_)
        ownLoad_->tick(now);
    forwarder_->maintain(now);
    allowances_->maintain(now);
    relayedGateways_.tick(now);
    watchers_.answer(now);
    guard_->tick(now);
    reloadSettings(false);
    events_.flush();
    if (ownLoad_)
        ownLoad_->expectTick(clock_.now() + TickInterval);
}

void GatewayProcess::reloadSettings(bool force)
{
    auto settings = settingsWatch_.poll(force);
    if (!settings)
        return;
    if (!*settings) {
        events_.write(clock_.now(), Importance::Notable, "settings_refused",
                      {{"file", settingsPath_}, {"mistakes", settings->error().detail}});
        return;
    }
    // Changed addresses take effect only after a restart.
    settings_.seeds = (*settings)->seeds;
    settings_.extraLoadRatio = (*settings)->extraLoadRatio;
    settings_.extraLoadSlack = (*settings)->extraLoadSlack;
    settings_.shutdownGrace = (*settings)->shutdownGrace;
    settings_.lookupMaxAge = (*settings)->lookupMaxAge;
    settings_.serverDrain = (*settings)->serverDrain;
    settings_.keyRemovalBound = (*settings)->keyRemovalBound;
    for (const auto &seed : settings_.seeds)
        watcher_->addRegistries({settings_.registryPeerAddress(seed)});
    forwarder_->setOptions(forwardOptions());
    forwarder_->setKeyRemovalBound(settings_.keyRemovalBound);
    events_.write(clock_.now(), Importance::Notable, "settings_reloaded",
                  {{"seeds", fmt::format("{}", fmt::join(settings_.seeds, ","))}});
}

nlohmann::json GatewayProcess::describeStatus() const
{
    return {{"kind", "gateway"},
            {"node", settings_.nodeId},
            {"healthy", isReady()},
            {"configuration_version", forwarder_->routes() ? forwarder_->routes()->version() : 0},
            {"evacuated_data_centres", evacuatedDataCentres_},
            {"evacuated_servers", forwarder_->evacuatedServers()},
            {"cold_servers", forwarder_->coldServers(clock_.now())}};
}

Base::Result<nlohmann::json> GatewayProcess::explain(std::string_view text)
{
    const auto question = parseExplainQuestion(text);
    if (!question)
        return tl::unexpected(question.error());
    const auto explanation = forwarder_->explain(*question);
    events_.write(clock_.now(), Importance::Notable, "request_explained",
                  {{"host", question->host},
                   {"path", question->path.substr(0, question->path.find('?'))},
                   {"route", explanation.route != nullptr ? explanation.route->name : std::string()},
                   {"tenant", explanation.tenant != nullptr ? explanation.tenant->name : std::string()},
                   {"verdict", verdictOf(explanation)}});
    auto answer = describeExplanation(explanation, *question);
    answer["node"] = settings_.nodeId;
    answer["data_centre"] = settings_.dataCentre;
    return answer;
}

void GatewayProcess::beginLeaving()
{
    if (leavingSince_)
        return;
    leavingSince_ = clock_.now();
    const auto untilEnd = EndRequestsFraction * std::chrono::duration<double>(settings_.shutdownGrace);
    forwarder_->setStopTime(*leavingSince_ + std::chrono::duration_cast<Base::Duration>(untilEnd));
    loop_.repeat(ShutdownStepInterval, [this] { continueLeaving(clock_.now()); });
    callerServer_->beginDrain();
    watcher_->reportNow();
    events_.write(*leavingSince_, Importance::Notable, "stopping",
                  {{"node", settings_.nodeId}, {"requests_in_flight", forwarder_->requestsInFlight()}});
}

void GatewayProcess::continueLeaving(Base::Instant now)
{
    const auto elapsed = std::chrono::duration<double>(now - *leavingSince_);
    const auto grace = std::chrono::duration<double>(settings_.shutdownGrace);
    if (elapsed < StopAcceptingFraction * grace)
        return;
    if (!std::exchange(stoppedAccepting_, true)) {
        callerServer_->stopAccepting();
        forwarder_->refuseNewRequests();
    }
    // The last responses need one more iteration of the event loop to be sent.
    if (elapsed >= EndRequestsFraction * grace && forwarder_->requestsInFlight() > 0)
        forwarder_->endAll();
    else if (callerServer_->connectionCount() == 0 || elapsed >= ExitFraction * grace)
        loop_.stop();
}

} // namespace Services
