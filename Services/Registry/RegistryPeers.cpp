// Calls from gateways and other registries, and state sharing between registries.

#include "LibWire/Packed.h"
#include "Services/Registry/RegistryProcess.h"

#include <fmt/format.h>
#include <random>

namespace Services {

namespace {

using Base::ErrorKind;
using Importance = Base::EventLog::Importance;

constexpr Base::Duration ShareInterval = Base::milliseconds(300);
constexpr Base::Duration ShareTimeout = Base::seconds(1);
/// Directory changes within this time are batched: when all gateways start together, each of them would
/// otherwise trigger an update to all others. Callers keep a look-up result for seconds.
constexpr Base::Duration DirectoryUpdateInterval = Base::milliseconds(100);
/// Changed caller shares within this time are batched. Each change answers all open calls, so without this,
/// many hot gateways would make all others call several times more often.
constexpr Base::Duration CallerShareUpdateInterval = Base::seconds(1);
/// Pause after a failed read of the server list.
constexpr Base::Duration FailedReadPause = Base::milliseconds(500);

/// Interval of the confirmations that all gateways of a registry share. Several fit into any useful bound, so
/// that lost ones do no harm.
constexpr Base::Duration ConfirmationInterval = Base::milliseconds(220);
constexpr Base::Duration ConfirmationTimeout = Base::seconds(1);
/// Gateways that need confirmations ask again within this time.
constexpr Base::Duration ConfirmationWantedTime = Base::seconds(2);

} // namespace

void RegistryProcess::handlePeerCall(Wire::Method method, const Base::Bytes &payload,
                                     const ResponderPointer &responder)
{
    switch (method) {
    case Wire::Method::RaftMessage:
        return post(payload, responder, &RegistryProcess::handleRaftMessage);
    case Wire::Method::IntroduceNode:
        return post(payload, responder, &RegistryProcess::handleIntroduce);
    case Wire::Method::JoinCluster:
        return post(payload, responder, &RegistryProcess::handleJoin);
    case Wire::Method::LeaveCluster:
        return post(payload, responder, &RegistryProcess::handleLeave);
    case Wire::Method::WatchRegistry:
        return post(payload, responder, &RegistryProcess::handleWatch);
    case Wire::Method::ShareState:
        return post(payload, responder, &RegistryProcess::handleSharedState);
    case Wire::Method::SubmitConfiguration:
        return post(payload, responder, &RegistryProcess::submitForPeer);
    case Wire::Method::ReadConfiguration:
        return post(payload, responder, &RegistryProcess::readForPeer);
    case Wire::Method::ConfirmConfiguration:
        return post(payload, responder, &RegistryProcess::handleConfirm);
    case Wire::Method::TakeAllowance:
        return post(payload, responder, &RegistryProcess::takeAllowance);
    case Wire::Method::ChangeEvacuation:
        return post(payload, responder, &RegistryProcess::orderForPeer);
    default:
        responder->fail({ErrorKind::InvalidRequest, "a registry does not serve this call"});
    }
}

template<typename Message>
void RegistryProcess::post(const Base::Bytes &payload, const ResponderPointer &responder,
                           void (RegistryProcess::*operation)(const Message &, const ResponderPointer &))
{
    auto message = Wire::decode<Message>(payload);
    if (!message)
        return responder->fail(message.error());
    loop_.post([this, operation, responder, message = std::move(*message)] {
        (this->*operation)(message, responder);
    });
}

void RegistryProcess::handleRaftMessage(const Wire::RaftMessage &message, const ResponderPointer &responder)
{
    responder->reply({});
    if (!cluster_)
        return;
    cluster_->raft().receive(clock_.now(), message);
    processReady();
}

void RegistryProcess::handleIntroduce(const Wire::IntroduceNodeRequest &request,
                                      const ResponderPointer &responder)
{
    addresses_.add(request.nodeId, request.incarnation, request.peerAddress);
    if (seenRegistries_.remember(request.peerAddress))
        nextJoin_ = clock_.now(); // A node that knew no member can join through this one.
    if (!cluster_)
        return responder->fail({ErrorKind::StorageFailed, "data directory is not usable"});
    responder->reply(Wire::encode(
        Wire::IntroduceNodeReply {settings_.nodeId, cluster_->incarnation(), cluster_->holdsLog()}));
}

void RegistryProcess::handleJoin(const Wire::JoinRequest &request, const ResponderPointer &responder)
{
    responder->reply(Wire::encode(answerJoin(clock_.now(), request)));
}

void RegistryProcess::handleLeave(const Wire::LeaveRequest &request, const ResponderPointer &responder)
{
    responder->reply(Wire::encode(answerLeave(clock_.now(), request)));
}

void RegistryProcess::handleWatch(const Wire::WatchRequest &request, const ResponderPointer &responder)
{
    const auto now = clock_.now();
    gateways_.report(now, request.gateway);
    gateways_.relay(now, request.relayed);
    updateDirectory(now);
    if (request.confirmationAgeMs) {
        confirmationWantedUntil_ = now + ConfirmationWantedTime;
        renewConfirmation(now);
    }
    watchers_.add(now, request, responder);
}

/// Records a confirmation of this node's own; returns whether it leads.
bool RegistryProcess::confirmAsLeader(Base::Instant now)
{
    currency_.hold(cluster_->core().configuration().version());
    const auto confirmedAt = cluster_->core().confirmedAt(now);
    if (confirmedAt)
        currency_.confirm(cluster_->core().configuration().version(), *confirmedAt);
    return confirmedAt.has_value();
}

void RegistryProcess::renewConfirmation(Base::Instant now)
{
    if (!cluster_ || now >= confirmationWantedUntil_ || confirmAsLeader(now) || now < nextConfirmation_)
        return;
    const auto leader = leaderAddress(cluster_->raft().status(now));
    if (leader.empty() || leader == settings_.registryPeerAddress())
        return;
    nextConfirmation_ = now + ConfirmationInterval;
    const Wire::ConfirmConfigurationRequest request {cluster_->core().configuration().version()};
    endpoint_->call(leader, Wire::Method::ConfirmConfiguration, Wire::encode(request), ConfirmationTimeout,
                    [this, askedAt = now](const Base::Result<Base::Bytes> &payload) {
                        const auto reply = payload.and_then([](const Base::Bytes &bytes) {
                            return Wire::decode<Wire::ConfirmConfigurationReply>(bytes);
                        });
                        if (!reply)
                            return; // Asked again after ConfirmationInterval.
                        loop_.post([this, askedAt, reply = *reply] {
                            currency_.confirm(reply.version,
                                              askedAt - Base::milliseconds(reply.confirmedBeforeMs));
                            watchers_.answer(clock_.now());
                        });
                    });
}

void RegistryProcess::handleConfirm(const Wire::ConfirmConfigurationRequest &,
                                    const ResponderPointer &responder)
{
    const auto now = clock_.now();
    if (!cluster_ || !confirmAsLeader(now))
        return responder->fail({ErrorKind::NotLeader, {}});
    const auto before = currency_.confirmedBeforeMs(now);
    if (!before)
        return responder->fail({ErrorKind::NotLeader, "no majority has answered yet"});
    responder->reply(
        Wire::encode(Wire::ConfirmConfigurationReply {cluster_->core().configuration().version(), *before}));
}

void RegistryProcess::updateDirectory(Base::Instant now)
{
    if (now < nextDirectoryUpdate_)
        return;
    auto serving = gateways_.serving(now);
    const auto change = directory_.compare(serving);
    if (change == Registry::Directory::Change::None)
        return;
    if (change == Registry::Directory::Change::CallerShares) {
        // Other registries get it with the next exchange, and no line is written: it is not news to anybody.
        if (now >= nextShareUpdate_) {
            nextShareUpdate_ = now + CallerShareUpdateInterval;
            directory_.replace(std::move(serving));
        }
        return;
    }
    const auto before = directory_.gateways().size();
    directory_.replace(std::move(serving));
    nextDirectoryUpdate_ = now + DirectoryUpdateInterval;
    nextShare_ = now; // The other registries pass the change on to the gateways that watch them.
    events_.write(now, Importance::Notable, "directory_changed",
                  {{"serving_before", before}, {"serving", directory_.gateways().size()}});
}

Wire::WatchReply RegistryProcess::watchReply(Base::Instant now, const Wire::WatchRequest &request,
                                             Base::Instant arrivedAt)
{
    Wire::WatchReply reply;
    if (cluster_) {
        const auto status = cluster_->raft().status(now);
        reply.leaderKnown = !status.leaderId.empty() && isMember(status);
        for (const auto &member : status.members) {
            if (member.member.nodeId == status.leaderId)
                reply.leaderSilentMs = static_cast<std::uint32_t>(member.silentFor / Base::milliseconds(1));
        }
        reply.leaderAddress = leaderAddress(status);
        const auto &configuration = cluster_->core().configuration();
        reply.configurationVersion = configuration.version();
        if (configuration.version() > request.configurationVersion)
            reply.configurationText = configuration.text();
        if (request.confirmationAgeMs) {
            currency_.hold(configuration.version());
            reply.confirmedBeforeMs = currency_.confirmedBeforeMs(arrivedAt);
        }
        const auto &evacuations = cluster_->core().evacuations();
        reply.evacuationRevision = evacuations.revision();
        if (evacuations.revision() > request.evacuationRevision)
            reply.evacuatedDataCentres = evacuations.dataCentres();
    }
    reply.serverList = serverList_.copyFor(now, request.serverListDigest, request.serverListAgeMs);
    reply.directory = directory_.copyFor(request.directoryDigest);
    reply.registryAddresses = knownRegistries();
    reply.registryAddresses.push_back(settings_.registryPeerAddress());
    reply.dataCentre = settings_.dataCentre;
    return reply;
}

void RegistryProcess::shareState(Base::Instant now)
{
    if (now < nextShare_)
        return;
    nextShare_ = now + ShareInterval;
    const auto reports = Wire::pack(gateways_.firstHandReports(now));
    for (const auto &address : knownRegistries()) {
        const auto &held = peerServerLists_[address];
        const Wire::ShareStateRequest request {
            reports, serverList_.copyFor(now, held.digest, Registry::readAgeMs(now, held.readAt))};
        endpoint_->call(address, Wire::Method::ShareState, Wire::encode(request), ShareTimeout,
                        [this, address](const Base::Result<Base::Bytes> &payload) {
                            if (!payload)
                                return; // Soft state is resent after ShareInterval.
                            const auto reply = Wire::decode<Wire::ShareStateReply>(*payload);
                            if (!reply)
                                return;
                            loop_.post([this, address, reply = *reply] {
                                auto &list = peerServerLists_[address];
                                list.digest = reply.serverListDigest;
                                list.readAt.reset();
                                if (reply.serverListAgeMs != UINT32_MAX)
                                    list.readAt = clock_.now() - Base::milliseconds(reply.serverListAgeMs);
                            });
                        });
    }
}

void RegistryProcess::handleSharedState(const Wire::ShareStateRequest &request,
                                        const ResponderPointer &responder)
{
    const auto now = clock_.now();
    const auto reports = Wire::unpack<std::vector<Wire::GatewayReport>>(request.gateways);
    if (!reports)
        return responder->fail(reports.error());
    gateways_.merge(now, *reports);
    if (request.serverList)
        applyServerList(now, *request.serverList);
    responder->reply(Wire::encode(Wire::ShareStateReply {serverList_.digest(), serverList_.ageMs(now)}));
    updateDirectory(now);
    watchers_.answer(now);
}

void RegistryProcess::applyServerList(Base::Instant now, const Wire::PackedServerList &packed)
{
    const auto list = Registry::unpack(packed);
    if (!list) {
        events_.write(now, Importance::Notable, "server_list_refused", {{"detail", list.error().detail}});
        return;
    }
    serverList_.offer(now, *list, packed.servers);
}

void RegistryProcess::readServerListIfDue(Base::Instant now)
{
    listReader_->checkTimeout(now);
    if (settings_.serverListAddress.empty() || listReader_->isReading() || now < nextRead_
        || !serverList_.shouldRead(
            now, isLeader(now),
            Registry::ServerListHolder::readInterval(listPages_, settings_.serverListCallsPerSecond)))
        return;
    // A registry that has just started first waits for the list from another one.
    if (!serverList_.isKnown() && !isLeader(now)
        && now - startedAt_ < Registry::ServerListHolder::firstReadDelay(settings_.registryPeerAddress(),
                                                                         knownRegistries()))
        return;
    listReader_->read(now, [this](const Base::Result<Wire::ServerList> &list,
                                  const ServerListReader::Unreadable &unreadable) {
        const auto readAt = clock_.now();
        listPages_ = std::max(listPages_, listReader_->pagesRead());
        nextRead_ = list ? readAt : readAt + FailedReadPause;
        if (static_cast<bool>(list) != serverListReachable_) {
            serverListReachable_ = static_cast<bool>(list);
            events_.write(readAt, Importance::Notable,
                          serverListReachable_ ? "dependency_regained" : "dependency_lost",
                          {{"dependency", "server_list"}, {"detail", list ? "" : list.error().detail}});
        }
        if (!list)
            return;
        metrics_.counter("daisyroute_server_list_reads_total", "Complete reads of the server list.").add();
        metrics_.gauge("daisyroute_server_list_unreadable", "Entries of the server list that name no server.")
            .set(static_cast<double>(unreadable.count));
        if (std::exchange(unreadableSample_, unreadable.sample) != unreadable.sample && unreadable.count > 0)
            events_.write(
                readAt, Importance::Notable, "server_entries_refused",
                {{"count", unreadable.count},
                 {"expected",
                  "id, service, ip:port, zone, slots from 1, state ready or draining, start and warm-up "
                  "from 0"},
                 {"first", unreadable.sample}});
        if (serverList_.offer(readAt, *list)) {
            events_.write(readAt, Importance::Notable, "server_list_changed",
                          {{"servers", list->servers.size()},
                           {"unreadable", unreadable.count},
                           {"age_ms", list->ageMs},
                           {"digest", list->digest}});
            watchers_.answer(readAt);
            nextShare_ = readAt;
        }
    });
}

void RegistryProcess::submitForPeer(const Wire::SubmitConfigurationRequest &request,
                                    const ResponderPointer &responder)
{
    if (!cluster_)
        return responder->fail({ErrorKind::StorageFailed, {}});
    submit(request.version, request.text, [responder](const Base::Result<std::uint64_t> &held) {
        if (held)
            responder->reply(Wire::encode(Wire::SubmitConfigurationReply {*held}));
        else
            responder->fail(held.error());
    });
}

void RegistryProcess::orderForPeer(const Wire::ChangeEvacuationRequest &request,
                                   const ResponderPointer &responder)
{
    if (!cluster_)
        return responder->fail({ErrorKind::StorageFailed, {}});
    orderEvacuation(request, [responder](const Base::Result<std::uint64_t> &revision) {
        if (revision)
            responder->reply(Wire::encode(Wire::ChangeEvacuationReply {*revision}));
        else
            responder->fail(revision.error());
    });
}

void RegistryProcess::readForPeer(const Wire::ReadConfigurationRequest &request,
                                  const ResponderPointer &responder)
{
    if (!cluster_ || !cluster_->core().isUpToDateLeader(clock_.now()))
        return responder->fail({ErrorKind::NotLeader, {}});
    const auto &configuration = cluster_->core().configuration();
    responder->reply(Wire::encode(Wire::ReadConfigurationReply {
        configuration.version(),
        configuration.version() == request.heldVersion ? std::string() : configuration.text()}));
}

} // namespace Services
