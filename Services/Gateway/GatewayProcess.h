#pragma once

#include "LibAdapter/PlatformAdapter.h"
#include "LibBase/EventLog.h"
#include "LibEdge/CallerServer.h"
#include "LibEdge/Loop.h"
#include "LibPeer/Endpoint.h"
#include "LibRegistry/Directory.h"
#include "LibRegistry/GatewayNaming.h"
#include "LibRegistry/GatewayTable.h"
#include "LibRegistry/ServerListHolder.h"
#include "Services/Common/CallerGuard.h"
#include "Services/Common/NodeSettings.h"
#include "Services/Common/SettingsWatch.h"
#include "Services/Common/WatchDesk.h"
#include "Services/Gateway/AllowanceClient.h"
#include "Services/Gateway/ColdServerUnits.h"
#include "Services/Gateway/Forwarder.h"
#include "Services/Gateway/GatewayMetrics.h"
#include "Services/Gateway/OwnLoad.h"
#include "Services/Gateway/RegistryWatcher.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Services {

/// One gateway process: forwards callers' requests according to the newest known configuration and answers
/// look-ups of gateways. It continues with the last known state if no registry is reachable.
class GatewayProcess
{
public:
    static Base::Result<std::unique_ptr<GatewayProcess>> create(const std::string &settingsPath,
                                                                const std::string &metricsPort,
                                                                const Adapter::PlatformAdapter &adapter);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    /// Runs until SIGTERM or SIGINT, then shuts down gracefully within the shutdown grace.
    void run();

private:
    GatewayProcess(const std::string &settingsPath, NodeSettings settings,
                   const Adapter::PlatformAdapter &adapter);

    Base::Result<void> start(const std::string &metricsPort);
    Wire::WatchRequest watchRequest() const;
    void applyReply(const Wire::WatchReply &reply, bool fresh, Base::Instant sentAt);
    void applyConfirmation(const Wire::WatchReply &reply, bool fresh, Base::Instant sentAt);
    void applyConfiguration(const Wire::WatchReply &reply, bool fresh);
    void applyEvacuations(const Wire::WatchReply &reply);
    void applyDirectory(const Wire::WatchReply &reply);
    void applyServerList(const Wire::PackedServerList &packed);
    void handleWatch(const Wire::WatchRequest &request, const std::shared_ptr<Peer::Responder> &responder);
    Wire::WatchReply watchReply(Base::Instant now, const Wire::WatchRequest &request,
                                Base::Instant arrivedAt) const;
    std::string peerAddressOf(const Wire::GatewayRecord &gateway) const;
    void applyGateways();
    void handleLookup(const Edge::RequestMessage &request, const Edge::CallerExchange &caller);
    void tick();
    void reloadSettings(bool force);
    nlohmann::json describeStatus() const;
    Base::Result<nlohmann::json> explain(std::string_view question);
    void beginLeaving();
    void continueLeaving(Base::Instant now);
    Wire::GatewayState state() const;
    bool isReady() const;
    Forward::ForwardOptions forwardOptions() const;

    std::string settingsPath_;
    NodeSettings settings_;
    const Adapter::PlatformAdapter &adapter_;
    Base::SystemClock clock_;
    Base::EventLog events_;
    GatewayMetrics metrics_;
    SettingsWatch settingsWatch_;
    Edge::Loop loop_;
    std::uint64_t incarnation_;
    Base::Instant startedAt_;
    std::optional<Base::Instant> leavingSince_;
    bool stoppedAccepting_ = false;
    std::string refusedConfiguration_; ///< Error detail of the last configuration that could not be decoded.
    bool suitsGathers_ = false; ///< Depends on the current configuration and this VM's capacity.
    std::string configurationText_; ///< Current configuration, for gateways that cannot reach a registry.
    std::uint64_t evacuationRevision_ = 0; ///< Of the evacuations in force here.
    std::vector<std::string> evacuatedDataCentres_;
    Registry::ServerListHolder serverList_;
    /// Gateways that report here because they cannot reach a registry.
    Registry::GatewayTable relayedGateways_;
    Base::Instant leaderHeardAt_; ///< Last time a registry is known to have heard from its leader.
    std::string leaderAddress_; ///< Kept while no registry names another.
    WatchDesk watchers_;
    Registry::Directory directory_;
    /// Chooses the gateways of `directory_` that are advertised to callers.
    Registry::GatewayNaming naming_;
    std::unique_ptr<OwnLoad> ownLoad_; ///< Null without `share_callers_by_load`.
    std::unique_ptr<AllowanceClient> allowances_;
    std::unique_ptr<ColdServerUnits> coldServerUnits_;
    std::unique_ptr<Forwarder> forwarder_;
    std::unique_ptr<CallerGuard> guard_;
    std::unique_ptr<Edge::CallerServer> callerServer_;
    std::unique_ptr<Edge::CallerServer> readinessServer_;
    std::unique_ptr<Edge::CallerServer> lookupServer_;
    std::unique_ptr<Edge::CallerServer> metricsServer_;
    std::unique_ptr<RegistryWatcher> watcher_;
    /// Last member, so that its thread ends before the members it posts to are destroyed.
    std::unique_ptr<Peer::Endpoint> endpoint_;
};

} // namespace Services
