#include "Services/Control/ClusterBootstrap.h"

#include "LibBase/Log.h"

#include <algorithm>
#include <future>
#include <thread>

namespace Services {

namespace {

constexpr Base::Log ControlLog("control");
constexpr Base::Duration IntroduceTimeout = Base::milliseconds(500);
constexpr Base::Duration RetryPause = Base::milliseconds(200);

} // namespace

Wire::IntroduceNodeReply ClusterBootstrap::identity(const std::string &nodeId,
                                                    const Consensus::LogStore &store)
{
    return {nodeId, store.incarnation(), store.snapshot().has_value() || store.lastIndex() > 0};
}

bool ClusterBootstrap::isBootstrapNode() const
{
    if (settings_.join || settings_.members.empty() || identity(settings_.nodeId, store_).holdsLog
        || store_.hardState() != Consensus::HardState {})
        return false;
    return std::all_of(settings_.members.begin(), settings_.members.end(),
                       [this](const auto &member) { return settings_.nodeId <= member.nodeId; });
}

Base::Result<std::vector<Wire::RaftMember>>
ClusterBootstrap::findInitialMembers(const std::function<bool()> &shouldStop) const
{
    if (!isBootstrapNode())
        return std::vector<Wire::RaftMember> {};
    auto endpoint = startEndpoint();
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    ControlLog.info("Cluster waits for all its members.", {{"members", settings_.members.size()}});
    auto members = settings_.members;
    for (auto &member : members) {
        auto identified = identify(**endpoint, member, shouldStop);
        if (!identified)
            return tl::unexpected(identified.error());
    }
    ControlLog.info("Cluster founded.", {{"members", members.size()}});
    return members;
}

Base::Result<std::unique_ptr<Peer::Endpoint>> ClusterBootstrap::startEndpoint() const
{
    Peer::EndpointOptions options;
    options.listenAddress = settings_.peerAddress;
    options.sharedSecret = settings_.sharedSecret;
    options.handler = [](Wire::Method, const Base::Bytes &,
                         const std::shared_ptr<Peer::Responder> &responder) {
        responder->fail({Base::ErrorKind::ControlUnavailable, "the cluster is not founded yet"});
    };
    return Peer::Endpoint::create(std::move(options));
}

Base::Result<void> ClusterBootstrap::identify(Peer::Endpoint &endpoint, Wire::RaftMember &member,
                                              const std::function<bool()> &shouldStop) const
{
    if (member.nodeId == settings_.nodeId) {
        member.incarnation = store_.incarnation();
        return {};
    }
    while (!shouldStop()) {
        const auto reply = introduce(endpoint, member.peerAddress);
        if (!reply || reply->nodeId != member.nodeId) {
            std::this_thread::sleep_for(RetryPause);
            continue;
        }
        if (reply->holdsLog)
            return Base::fail(
                Base::ErrorKind::SettingInvalid,
                "node " + member.nodeId
                    + " belongs to a cluster, but this node's data directory is empty; start it "
                      "with --join and add it to the cluster");
        member.incarnation = reply->incarnation;
        return {};
    }
    return Base::fail(Base::ErrorKind::ShuttingDown, "stopped before all members had answered");
}

Base::Result<Wire::IntroduceNodeReply> ClusterBootstrap::introduce(Peer::Endpoint &endpoint,
                                                                   const std::string &peerAddress) const
{
    const auto promise = std::make_shared<std::promise<Base::Result<Base::Bytes>>>();
    endpoint.call(peerAddress, Wire::Method::IntroduceNode,
                  Wire::encode(Wire::IntroduceNodeRequest {settings_.nodeId, store_.incarnation(),
                                                           settings_.peerAddress}),
                  IntroduceTimeout,
                  [promise](Base::Result<Base::Bytes> result) { promise->set_value(std::move(result)); });
    const auto payload = promise->get_future().get();
    if (!payload)
        return tl::unexpected(payload.error());
    return Wire::decode<Wire::IntroduceNodeReply>(*payload);
}

} // namespace Services
