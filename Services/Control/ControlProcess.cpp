#include "Services/Control/ControlProcess.h"

#include "Services/Common/RequestMemory.h"
#include "Services/Control/ClusterBootstrap.h"

#include <algorithm>
#include <random>

namespace Services {

namespace {

constexpr Base::Log ControlLog("control");

/// Half of the heartbeat interval, so that heartbeats leave on time.
constexpr Base::Duration TickInterval = Base::milliseconds(50);
/// Applied entries between two snapshots; bounds the log that a restart replays.
constexpr std::uint64_t SnapshotInterval = 1000;
/// A Raft message that takes longer is of no use, because its sender has repeated it.
constexpr Base::Duration RaftMessageTimeout = Base::seconds(2);
constexpr Base::Duration IntroductionInterval = Base::seconds(1);
/// Time for the replies of the last requests to leave.
constexpr Base::Duration EndpointStopTimeout = Base::seconds(1);
/// Rounds of work that one step may cause; more wait for the next turn of the loop.
constexpr int MaxStepRounds = 8;

void writeEvent(Base::LogLevel level, std::string_view sentence, std::initializer_list<Base::LogField> fields)
{
    switch (level) {
    case Base::LogLevel::Debug:
        return ControlLog.debug(sentence, fields);
    case Base::LogLevel::Info:
        return ControlLog.info(sentence, fields);
    case Base::LogLevel::Warning:
        return ControlLog.warning(sentence, fields);
    case Base::LogLevel::Error:
        return ControlLog.error(sentence, fields);
    }
}

Control::ControlCoreOptions coreOptions(const ControlSettings &settings)
{
    Control::ControlCoreOptions options;
    options.environment = settings.environment;
    options.parse = &Configuration::parseDocument;
    options.onEvent = &writeEvent;
    return options;
}

Consensus::RaftOptions raftOptions(const ControlSettings &settings, std::vector<Wire::RaftMember> members)
{
    Consensus::RaftOptions options;
    options.nodeId = settings.nodeId;
    options.peerAddress = settings.peerAddress;
    options.initialMembers = std::move(members);
    options.seed = std::random_device {}();
    return options;
}

bool isEmpty(const Consensus::Ready &ready)
{
    return !ready.restore && ready.committed.empty() && ready.messages.empty();
}

} // namespace

Base::Result<std::unique_ptr<ControlProcess>> ControlProcess::create(const ControlSettings &settings,
                                                                     const std::function<bool()> &shouldStop)
{
    if (settings.repair) {
        auto repaired = Consensus::FileLogStore::repair(settings.dataDirectory);
        if (!repaired)
            return tl::unexpected(repaired.error());
    }
    auto store = Consensus::FileLogStore::create(settings.dataDirectory);
    if (!store)
        return tl::unexpected(store.error());
    auto members = ClusterBootstrap(settings, **store).findInitialMembers(shouldStop);
    if (!members)
        return tl::unexpected(members.error());
    const Base::SystemClock clock;
    auto raft = Consensus::RaftNode::create(raftOptions(settings, std::move(*members)), **store, clock.now());
    if (!raft)
        return tl::unexpected(raft.error());
    std::unique_ptr<ControlProcess> process(
        new ControlProcess(settings, std::move(*store), std::move(*raft)));
    const auto started = process->startTransports();
    if (!started)
        return tl::unexpected(started.error());
    return process;
}

ControlProcess::ControlProcess(const ControlSettings &settings,
                               std::unique_ptr<Consensus::FileLogStore> store,
                               std::unique_ptr<Consensus::RaftNode> raft)
    : settings_(settings)
    , store_(std::move(store))
    , raft_(std::move(raft))
    , core_(coreOptions(settings_), *raft_)
    , watch_(&writeEvent)
    , membership_(*raft_, &writeEvent,
                  [this](const std::string &peerAddress, const MembershipDesk::Identified &done) {
                      identify(peerAddress, done);
                  })
    , operators_(settings_, clock_, events_, core_, *raft_, membership_)
    , peers_(clock_, events_, core_, *raft_, addresses_,
             [this] { return ClusterBootstrap::identity(settings_.nodeId, *store_); })
    , nextTick_(clock_.now())
    , nextIntroduction_(nextTick_)
    , compactedIndex_(store_->firstIndex() - 1)
{
}

ControlProcess::~ControlProcess()
{
    stop();
}

Base::Result<void> ControlProcess::startTransports()
{
    if (settings_.memoryMegabytes > 0)
        returnFreedMemory();
    Peer::EndpointOptions peerOptions;
    peerOptions.listenAddress = settings_.peerAddress;
    peerOptions.sharedSecret = settings_.sharedSecret;
    peerOptions.handler = [this](Wire::Method method, const Base::Bytes &payload,
                                 const PeerInterface::ResponderPointer &responder) {
        peers_.handle(method, payload, responder);
    };
    auto endpoint = Peer::Endpoint::create(std::move(peerOptions));
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    endpoint_ = std::move(*endpoint);

    Http::ServerOptions httpOptions;
    httpOptions.listenAddress = settings_.httpAddress;
    if (settings_.memoryMegabytes > 0)
        httpOptions.maxBodiesBytes = requestMemory(settings_.memoryMegabytes);
    httpOptions.handler = [this](const Http::Request &request) {
        // Monitoring needs no key and must work while the decision thread is busy.
        if (request.method == "GET" && request.path == "/metrics")
            return Http::Response {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.text()};
        return operators_.handle(request);
    };
    auto server = Http::Server::create(std::move(httpOptions));
    if (!server)
        return tl::unexpected(server.error());
    httpServer_ = std::move(*server);
    return {};
}

Base::Result<void> ControlProcess::run(const std::function<bool()> &shouldStop)
{
    ControlLog.info("Control process started.", {{"node", settings_.nodeId},
                                                 {"incarnation", store_->incarnation()},
                                                 {"http", httpServer_->listenAddress()},
                                                 {"peer", endpoint_->listenAddress()}});
    if (!ClusterBootstrap::identity(settings_.nodeId, *store_).holdsLog)
        ControlLog.info("This node is no member yet; it waits until a cluster adds it.");
    auto result = runUntilStopped(shouldStop);
    stop();
    ControlLog.info("Control process stopped.", {{"node", settings_.nodeId}});
    return result;
}

Base::Result<void> ControlProcess::runUntilStopped(const std::function<bool()> &shouldStop)
{
    while (!shouldStop()) {
        auto result = runOnce();
        if (!result) {
            ControlLog.error(
                "Control process cannot go on.",
                {{"error", Base::errorName(result.error().kind)}, {"detail", result.error().detail}});
            return result;
        }
    }
    return {};
}

Base::Result<void> ControlProcess::runOnce()
{
    const auto untilTick = std::max(Base::Duration::zero(), nextTick_ - clock_.now());
    // All waiting events run before the step, so that their proposals share one sync of the disk.
    for (const auto &event : events_.take(untilTick))
        event();
    const auto now = clock_.now();
    if (now >= nextTick_) {
        nextTick_ = now + TickInterval;
        raft_->tick(now);
        core_.tick(now);
        const auto status = raft_->status(now);
        watch_.observe(status);
        metrics_.update(status, core_, endpoint_->traffic());
        introduceToNewMembers(status);
        membership_.tick(now);
    }
    auto stepped = step();
    return stepped ? compactIfDue() : stepped;
}

Base::Result<void> ControlProcess::step()
{
    for (int round = 0; round < MaxStepRounds; ++round) {
        const auto ready = raft_->takeReady(clock_.now());
        if (!ready)
            return tl::unexpected(ready.error());
        if (isEmpty(*ready))
            return {};
        auto handled = core_.handleReady(clock_.now(), *ready);
        if (!handled)
            return handled;
        send(ready->messages);
    }
    return {};
}

Base::Result<void> ControlProcess::compactIfDue()
{
    const auto applied = core_.appliedIndex();
    if (applied < compactedIndex_ + SnapshotInterval)
        return {};
    const auto snapshot = core_.state().snapshot();
    ControlLog.info("Snapshot taken.", {{"index", applied}, {"bytes", snapshot.size()}});
    compactedIndex_ = applied;
    return raft_->compact(applied, snapshot);
}

void ControlProcess::send(const std::vector<Wire::RaftMessage> &messages)
{
    if (messages.empty())
        return;
    for (const auto &member : raft_->status(clock_.now()).members)
        addresses_.add(member.member.nodeId, member.member.incarnation, member.member.peerAddress);
    for (const auto &message : messages) {
        const auto address = addresses_.find(message.to, message.toIncarnation);
        // Raft repeats what gets lost, so the result of the call does not matter.
        if (!address.empty())
            endpoint_->call(address, Wire::Method::RaftMessage, Wire::encode(message), RaftMessageTimeout,
                            [](const Base::Result<Base::Bytes> &) {});
    }
}

/// A node that has just been added does not know the membership, so it could not answer the leader.
void ControlProcess::introduceToNewMembers(const Consensus::RaftStatus &status)
{
    const auto now = clock_.now();
    if (status.role != Consensus::Role::Leader || now < nextIntroduction_)
        return;
    nextIntroduction_ = now + IntroductionInterval;
    for (const auto &member : status.members) {
        if (member.matchIndex == 0)
            endpoint_->call(member.member.peerAddress, Wire::Method::IntroduceNode, introduction(),
                            RaftMessageTimeout, [](const Base::Result<Base::Bytes> &) {});
    }
}

Base::Bytes ControlProcess::introduction() const
{
    return Wire::encode(
        Wire::IntroduceNodeRequest {settings_.nodeId, store_->incarnation(), settings_.peerAddress});
}

/// Asks the node for its identity; the reply continues on the decision thread.
void ControlProcess::identify(const std::string &peerAddress, const MembershipDesk::Identified &done)
{
    endpoint_->call(peerAddress, Wire::Method::IntroduceNode, introduction(), RaftMessageTimeout,
                    [this, done](Base::Result<Base::Bytes> payload) {
                        const bool posted = events_.post([this, done, payload = std::move(payload)] {
                            done(clock_.now(), payload.and_then([](const Base::Bytes &bytes) {
                                return Wire::decode<Wire::IntroduceNodeReply>(bytes);
                            }));
                        });
                        if (!posted)
                            ControlLog.warning("Identity of a new member came too late.");
                    });
}

void ControlProcess::stop()
{
    events_.close();
    core_.beginShutDown();
    membership_.abandon();
    // Requests that were waiting get their refusal before the transports close.
    for (const auto &event : events_.take(Base::Duration::zero()))
        event();
    if (httpServer_ != nullptr)
        httpServer_->shutDown();
    if (endpoint_ != nullptr)
        endpoint_->shutDown(EndpointStopTimeout);
    httpServer_.reset();
    endpoint_.reset();
}

} // namespace Services
