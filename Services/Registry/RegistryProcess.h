#pragma once

#include "LibAdapter/PlatformAdapter.h"
#include "LibAllowance/AllowanceDivider.h"
#include "LibBase/Clock.h"
#include "LibBase/EventLog.h"
#include "LibControl/RaftWatch.h"
#include "LibEdge/CallerServer.h"
#include "LibEdge/Loop.h"
#include "LibMetrics/Registry.h"
#include "LibPeer/Endpoint.h"
#include "LibRegistry/Directory.h"
#include "LibRegistry/FormationWatch.h"
#include "LibRegistry/FounderSearch.h"
#include "LibRegistry/GatewayTable.h"
#include "LibRegistry/RegistryAddresses.h"
#include "LibRegistry/ServerListHolder.h"
#include "LibRoute/Configuration.h"
#include "LibTenant/ConfigurationCurrency.h"
#include "LibWire/IntroduceMessages.h"
#include "Services/Common/CallerGuard.h"
#include "Services/Common/NodeSettings.h"
#include "Services/Common/SettingsWatch.h"
#include "Services/Common/WatchDesk.h"
#include "Services/Control/AddressBook.h"
#include "Services/Registry/ClusterNode.h"
#include "Services/Registry/ServerListReader.h"

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Services {

/// One registry process: replicates the newest configuration with the other registries, reads the platform's
/// server list, and notifies gateways of changes. Everything runs on the thread of the event loop; the thread
/// of the peer endpoint posts to it.
class RegistryProcess
{
public:
    static Base::Result<std::unique_ptr<RegistryProcess>> create(const std::string &settingsPath,
                                                                 const std::string &metricsPort,
                                                                 const Adapter::PlatformAdapter &adapter);
    ~RegistryProcess();
    RegistryProcess(const RegistryProcess &) = delete;
    RegistryProcess &operator=(const RegistryProcess &) = delete;

    /// Runs until SIGTERM or SIGINT.
    void run();

private:
    using ResponderPointer = std::shared_ptr<Peer::Responder>;

    struct AllowanceTolerances
    {
        Allowance::Tolerance tenants;
        Allowance::Tolerance coldServers;

        bool operator==(const AllowanceTolerances &) const = default;
    };

    RegistryProcess(const std::string &settingsPath, NodeSettings settings,
                    const Adapter::PlatformAdapter &adapter);

    Base::Result<void> start(const std::string &metricsPort);
    void tick();
    void stop();
    void reloadSettings(bool force);
    nlohmann::json describeStatus();

    // RegistryCluster.cpp: the replicated log and its members.
    void openCluster(Base::Instant now, ClusterNode::Founding founding = ClusterNode::Founding::FirstSeed);
    void foundCluster(Base::Instant now, std::string_view reason);
    void searchForFounder(Base::Instant now, const Consensus::RaftStatus &status);
    void closeCluster(const Base::Error &reason);
    void processReady();
    void logStoredState();
    void sendRaft(const std::vector<Wire::RaftMessage> &messages);
    void maintainMembership(Base::Instant now);
    void watchFormation(Base::Instant now, const Consensus::RaftStatus &status);
    std::size_t votersToForm() const;
    void introduceToNewMembers(const Consensus::RaftStatus &status);
    void introduceTo(const std::string &address);
    void joinIfNeeded(Base::Instant now, const Consensus::RaftStatus &status);
    void handleJoinReply(const std::string &address, std::uint64_t incarnation,
                         const Base::Result<Base::Bytes> &payload);
    Wire::JoinReply answerJoin(Base::Instant now, const Wire::JoinRequest &request);

    // RegistryLeave.cpp: leaving the cluster before a planned stop.
    void beginLeaving();
    void continueLeaving(Base::Instant now);
    void requestLeave(Base::Instant now, const Consensus::RaftStatus &status);
    void finishLeaving(Base::Instant now, std::string_view outcome);
    Wire::LeaveReply answerLeave(Base::Instant now, const Wire::LeaveRequest &request);

    std::string leaderAddress(const Consensus::RaftStatus &status) const;
    bool isMember(const Consensus::RaftStatus &status) const;
    std::set<std::string> otherSeeds() const;
    std::vector<std::string> knownRegistries() const;
    void writeClusterEvent(Base::LogLevel level, std::string_view summary,
                           std::initializer_list<Base::LogField> fields);

    // RegistryPeers.cpp: calls from gateways and other registries.
    void handlePeerCall(Wire::Method method, const Base::Bytes &payload, const ResponderPointer &responder);
    template<typename Message>
    void post(const Base::Bytes &payload, const ResponderPointer &responder,
              void (RegistryProcess::*operation)(const Message &, const ResponderPointer &));
    void handleRaftMessage(const Wire::RaftMessage &message, const ResponderPointer &responder);
    void handleIntroduce(const Wire::IntroduceNodeRequest &request, const ResponderPointer &responder);
    void handleJoin(const Wire::JoinRequest &request, const ResponderPointer &responder);
    void handleLeave(const Wire::LeaveRequest &request, const ResponderPointer &responder);
    void handleWatch(const Wire::WatchRequest &request, const ResponderPointer &responder);
    void handleSharedState(const Wire::ShareStateRequest &request, const ResponderPointer &responder);
    void submitForPeer(const Wire::SubmitConfigurationRequest &request, const ResponderPointer &responder);
    void readForPeer(const Wire::ReadConfigurationRequest &request, const ResponderPointer &responder);
    Wire::WatchReply watchReply(Base::Instant now, const Wire::WatchRequest &request,
                                Base::Instant arrivedAt);
    void renewConfirmation(Base::Instant now);
    void handleConfirm(const Wire::ConfirmConfigurationRequest &request, const ResponderPointer &responder);
    bool confirmAsLeader(Base::Instant now);
    void orderForPeer(const Wire::ChangeEvacuationRequest &request, const ResponderPointer &responder);
    void shareState(Base::Instant now);
    void updateDirectory(Base::Instant now);
    void applyServerList(Base::Instant now, const Wire::PackedServerList &packed);
    void readServerListIfDue(Base::Instant now);
    bool isLeader(Base::Instant now);
    /// Number of voters that keeps a majority after the loss of `lostVmsTolerated` VMs.
    std::size_t targetVoterCount() const { return 2 * std::size_t {settings_.lostVmsTolerated} + 1; }

    // RegistryAllowances.cpp: bounded rates, shared by all gateways.
    void takeAllowance(const Wire::TakeAllowanceRequest &request, const ResponderPointer &responder);
    void watchAllowances(Base::Instant now);
    bool readAllowanceConfiguration(Base::Instant now);
    AllowanceTolerances allowanceTolerances() const;
    void updateAllowanceTerms(Base::Instant now);

    // RegistryOperators.cpp: the operators' interface.
    void handleOperator(const Edge::RequestMessage &request, const Edge::CallerExchange &exchange);
    void replaceConfiguration(const Edge::RequestMessage &request, const Edge::CallerExchange &exchange);
    void readConfiguration(const Edge::CallerExchange &exchange);
    void orderEvacuation(const Edge::RequestMessage &request, const Edge::CallerExchange &exchange,
                         bool evacuated);
    void orderEvacuation(const Wire::ChangeEvacuationRequest &order,
                         const Registry::RegistryCore::EvacuationCallback &done);
    bool isFormingLeader(Base::Instant now);
    void submit(std::uint64_t version, const std::string &text,
                const Registry::RegistryCore::SubmitCallback &done);
    void logOperatorAnswer(std::string_view operation, std::uint64_t version, int status,
                           std::string_view detail);

    std::string settingsPath_;
    NodeSettings settings_;
    const Adapter::PlatformAdapter &adapter_;
    Base::SystemClock clock_;
    Base::EventLog events_;
    Metrics::Registry metrics_;
    SettingsWatch settingsWatch_;
    Edge::Loop loop_;
    Control::RaftWatch raftWatch_;
    std::unique_ptr<ClusterNode> cluster_; ///< Null while the data directory cannot be used.
    Base::Instant nextOpenAttempt_;
    Base::Instant startedAt_;
    std::string openFailure_;
    AddressBook addresses_;
    /// Leader address returned by a registry, by address of that registry.
    std::map<std::string, std::string> joinHints_;
    std::size_t nextJoinTarget_ = 0;
    Base::Instant nextJoin_;
    Base::Instant nextIntroduction_;
    Registry::RegistryAddresses seenRegistries_;
    Base::Instant nextSearchForFormer_; ///< When the leader next calls at addresses without a member.
    Registry::FormationWatch formation_;
    std::optional<Registry::FounderSearch> founderSearch_; ///< On a first seed without a disk.
    bool warnedOfFewVoters_ = false;
    std::uint64_t loggedVersion_ = 0;
    std::uint64_t loggedEvacuationRevision_ = 0;
    std::optional<Base::Instant> leavingSince_; ///< Set by SIGTERM.
    Base::Instant nextLeaveRequest_;
    bool finishedLeaving_ = false;
    Registry::GatewayTable gateways_;
    Registry::Directory directory_;
    Base::Instant nextDirectoryUpdate_; ///< Earliest time of the next directory update.
    Base::Instant nextShareUpdate_; ///< Earliest time of the next one that changes only caller shares.
    Registry::ServerListHolder serverList_;
    std::unique_ptr<ServerListReader> listReader_;
    Base::Instant nextRead_;
    std::string unreadableSample_; ///< Of the latest read; a change is logged.
    std::size_t listPages_ = 1; ///< Largest number of pages of any read.
    bool serverListReachable_ = true;
    struct PeerServerList
    {
        std::uint64_t digest = 0;
        std::optional<Base::Instant> readAt;
    };
    /// Server lists held by other registries, by address.
    std::map<std::string, PeerServerList> peerServerLists_;
    Base::Instant nextShare_;
    /// Of the configuration held; kept up only while gateways ask for it.
    Tenant::ConfigurationCurrency currency_;
    Base::Instant confirmationWantedUntil_;
    Base::Instant nextConfirmation_;
    Allowance::AllowanceDivider allowances_;
    std::uint64_t allowanceVersion_ = 0; ///< Of the last configuration that was read for `allowances_`.
    /// The terms of `allowances_` are from it. Kept also while another node leads, which takes about as much
    /// memory as the text.
    std::optional<Route::Configuration> allowanceConfiguration_;
    AllowanceTolerances allowanceTolerances_; ///< With which the terms were worked out.
    std::uint64_t seenVersion_ = 0;
    Base::Instant configurationSeenAt_; ///< When `seenVersion_` was first seen.
    Base::Instant ledSince_; ///< Begin of the term of `allowances_`.
    Base::Instant nextAllowanceSweep_;
    Base::Instant nextAllowanceRefusalLine_;
    WatchDesk watchers_;
    std::unique_ptr<CallerGuard> guard_;
    std::unique_ptr<Edge::CallerServer> operatorServer_;
    std::unique_ptr<Edge::CallerServer> metricsServer_;
    /// Last member, so that its thread ends before the members it posts to are destroyed.
    std::unique_ptr<Peer::Endpoint> endpoint_;
};

} // namespace Services
