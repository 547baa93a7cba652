#include "Services/Registry/RegistryProcess.h"

#include "LibBase/AddressText.h"
#include "LibRegistry/Formation.h"
#include "Services/Common/MetricsEndpoint.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Services {

namespace {

/// Below half of the heartbeat interval, so that heartbeats leave on time.
constexpr Base::Duration TickInterval = Base::milliseconds(30);
/// How long a first seed without a disk waits for a registry that has one, at least. Covers what the VMs of a
/// deployment start apart.
constexpr Base::Duration ShortestFounderPatience = Base::seconds(2);
constexpr Base::Duration SettingsPollInterval = Base::seconds(1);
/// Time allowed for sending the last replies.
constexpr Base::Duration EndpointStopTimeout = Base::milliseconds(300);

} // namespace

Base::Result<std::unique_ptr<RegistryProcess>>
RegistryProcess::create(const std::string &settingsPath, const std::string &metricsPort,
                        const Adapter::PlatformAdapter &adapter)
{
    auto settings = readNodeSettings(settingsPath);
    if (!settings)
        return tl::unexpected(settings.error());
    std::unique_ptr<RegistryProcess> process(
        new RegistryProcess(settingsPath, std::move(*settings), adapter));
    if (auto started = process->start(metricsPort); !started)
        return tl::unexpected(started.error());
    return process;
}

RegistryProcess::RegistryProcess(const std::string &settingsPath, NodeSettings settings,
                                 const Adapter::PlatformAdapter &adapter)
    : settingsPath_(settingsPath)
    , settings_(std::move(settings))
    , adapter_(adapter)
    , events_("registry", STDOUT_FILENO)
    , settingsWatch_(settingsPath)
    , raftWatch_(
          [this](Base::LogLevel level, std::string_view summary,
                 std::initializer_list<Base::LogField> fields) { writeClusterEvent(level, summary, fields); })
    , startedAt_(clock_.now())
    , watchers_([this](Base::Instant now, const Wire::WatchRequest &request, Base::Instant arrivedAt) {
        return watchReply(now, request, arrivedAt);
    })
{
}

RegistryProcess::~RegistryProcess()
{
    if (endpoint_)
        endpoint_->shutDown(EndpointStopTimeout);
}

Base::Result<void> RegistryProcess::start(const std::string &metricsPort)
{
    guard_ = std::make_unique<CallerGuard>(settings_, events_, metrics_);
    Peer::EndpointOptions options;
    options.listenAddress = settings_.registryListenAddress();
    options.sharedSecret = settings_.clusterKey;
    options.handler = [this](Wire::Method method, const Base::Bytes &payload,
                             const ResponderPointer &responder) {
        handlePeerCall(method, payload, responder);
    };
    auto endpoint = Peer::Endpoint::create(std::move(options));
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    endpoint_ = std::move(*endpoint);
    auto server = serveAt(
        loop_, *guard_, Door::Operators, settings_.operatorAddress,
        [this](const Edge::RequestMessage &request, const Edge::CallerExchange &exchange) {
            handleOperator(request, exchange);
        },
        [this](const Edge::RequestMessage &head) {
            return adapter_.classify(head.method, head.path()) == Adapter::Call::ReplaceConfiguration;
        });
    if (!server)
        return tl::unexpected(server.error());
    operatorServer_ = std::move(*server);
    Edge::EdgeLimits limits;
    limits.maxBodyBytes = MaxConfigurationBytes;
    limits.maxConnections = guard_->maxConnections(Door::Operators);
    operatorServer_->setLimits(limits);
    auto metricsServer = serveMetrics(
        loop_, metrics_, settings_.listenIp, metricsPort, [this] { return describeStatus(); }, *guard_);
    if (!metricsServer)
        return tl::unexpected(metricsServer.error());
    metricsServer_ = std::move(*metricsServer);
    listReader_ = std::make_unique<ServerListReader>(loop_, adapter_, settings_.serverListAddress);
    openCluster(clock_.now());
    if (settings_.firstStart && settings_.dataDirectory.empty() && settings_.isFirstSeed())
        founderSearch_.emplace(otherSeeds(), Registry::namesAllRegistries(settings_.seeds.size()),
                               std::max(settings_.catchUpTime, ShortestFounderPatience));
    return {};
}

void RegistryProcess::run()
{
    events_.write(clock_.now(), Base::EventLog::Importance::Notable, "started",
                  {{"node", settings_.nodeId},
                   {"data_centre", settings_.dataCentre},
                   {"operator_address", settings_.operatorAddress},
                   {"peer_address", settings_.registryPeerAddress()},
                   {"seeds", fmt::format("{}", fmt::join(settings_.seeds, ","))},
                   {"first_start", settings_.firstStart},
                   {"data_directory", settings_.dataDirectory}});
    loop_.onSignals({SIGTERM, SIGINT, SIGHUP}, [this](int signal) {
        if (signal == SIGHUP)
            reloadSettings(true);
        else
            beginLeaving();
    });
    loop_.repeat(TickInterval, [this] { tick(); });
    loop_.repeat(SettingsPollInterval, [this] { reloadSettings(false); });
    processReady();
    loop_.run();
    events_.write(clock_.now(), Base::EventLog::Importance::Notable, "stopped", {{"node", settings_.nodeId}});
    events_.flush();
}

void RegistryProcess::tick()
{
    const auto now = clock_.now();
    if (!cluster_ && now >= nextOpenAttempt_)
        openCluster(now);
    if (cluster_) {
        cluster_->raft().tick(now);
        cluster_->core().tick(now);
        maintainMembership(now);
        processReady();
        watchAllowances(now);
    }
    if (leavingSince_)
        continueLeaving(now);
    gateways_.tick(now);
    updateDirectory(now);
    readServerListIfDue(now);
    shareState(now);
    renewConfirmation(now);
    watchers_.answer(now);
    guard_->tick(now);
    events_.flush();
}

void RegistryProcess::reloadSettings(bool force)
{
    auto settings = settingsWatch_.poll(force);
    if (!settings)
        return;
    if (!*settings) {
        events_.write(clock_.now(), Base::EventLog::Importance::Notable, "settings_refused",
                      {{"file", settingsPath_}, {"mistakes", settings->error().detail}});
        return;
    }
    settings_.takeOverForRegistry(**settings);
    events_.write(clock_.now(), Base::EventLog::Importance::Notable, "settings_reloaded",
                  {{"seeds", fmt::format("{}", fmt::join(settings_.seeds, ","))}});
}

nlohmann::json RegistryProcess::describeStatus()
{
    const auto now = clock_.now();
    nlohmann::json status {{"kind", "registry"},
                           {"node", settings_.nodeId},
                           {"healthy", false},
                           {"evacuated_data_centres", nlohmann::json::array()}};
    if (!cluster_)
        return status;
    const auto raft = cluster_->raft().status(now);
    status["healthy"] = Control::RaftWatch::isHealthy(raft);
    status["leads"] = isLeader(now);
    status["role"] = isLeader(now) ? "leader" : "follower";
    status["term"] = raft.term;
    status["applied_index"] = cluster_->core().appliedIndex();
    status["isolated"] = raft.isolated;
    status["isolated_ms"] = raft.isolatedFor / Base::milliseconds(1);
    status["configuration_version"] = cluster_->core().configuration().version();
    status["evacuated_data_centres"] = cluster_->core().evacuations().dataCentres();
    return status;
}

void RegistryProcess::stop()
{
    if (cluster_)
        cluster_->core().failPendingSubmissions();
    watchers_.abandon();
    loop_.stop();
}

} // namespace Services
