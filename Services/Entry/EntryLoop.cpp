#include "Services/Entry/EntryLoop.h"

#include "LibBase/Log.h"
#include "Services/Common/PeerMetrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace Services {

using Base::ErrorKind;

namespace {

constexpr Base::Log Log("entry");

/// Interval of observations, of the VM list and of the gauges.
constexpr Base::Duration PeriodicInterval = Base::milliseconds(500);

/// Longest sleep of the decision thread without any event.
constexpr Base::Duration LongestWait = Base::milliseconds(500);

/// Callers may use a cached address for its maximum age; the margin covers clock differences and the time to
/// connect.
constexpr Base::Duration AddressMargin = Base::seconds(1);

/// A leaving process waits this long for control to take its shares; its lease covers the rest.
constexpr Base::Duration ReleaseTimeout = Base::seconds(10);

constexpr Base::Duration IdleCheckInterval = Base::milliseconds(20);
constexpr Base::Duration FinishedTimeout = Base::milliseconds(500);

std::string_view phaseName(Wire::EntryState state)
{
    switch (state) {
    case Wire::EntryState::Joining:
        return "joining";
    case Wire::EntryState::Serving:
        return "serving";
    case Wire::EntryState::Leaving:
        return "leaving";
    }
    return "joining";
}

} // namespace

EntryLoop::EntryLoop(const EntrySettings &settings, Wire::EntryRecord self, EntryContext context,
                     Peer::Endpoint &endpoint)
    : context_(std::move(context))
    , self_(std::move(self))
    , query_({self_.entryId, self_.incarnation, self_.incarnation})
    , owner_(self_.entryId)
    , connector_({context_.events, context_.lease, context_.metrics, this})
    , control_(endpoint, *context_.events, clock_, settings.controlAddresses)
    , documents_(control_)
    , configuration_(documents_, settings.environment, [this] { configurationChanged(); })
    , leaseClient_(control_, *context_.events, clock_,
                   {[this] { return describeRenewal(); },
                    [this](Base::Instant sentAt, Wire::RenewLeaseReply reply) {
                        leaseGranted(sentAt, std::move(reply));
                    }})
    , subrequests_(
          endpoint, *context_.events,
          [this](const std::string &attemptId, const Base::Result<Wire::ExecuteSubrequestReply> &reply) {
              subrequestEnded(attemptId, reply);
          })
    , observer_(endpoint, *context_.events, self_.entryId,
                [this](const std::string &owner, const std::vector<Wire::ServerObservation> &servers) {
                    observe(owner, servers);
                })
    , vmList_(settings.vmListFile)
    , endpoint_(endpoint)
    , metrics_(context_.metrics)
{
}

void EntryLoop::run()
{
    leaseClient_.start();
    tickPeriodically();
    while (phase_ != Phase::Stopped) {
        for (const auto &event : context_.events->wait(clock_, nextWake()))
            event();
        runCores();
    }
    context_.events->close();
    callers_ = {};
}

Base::Instant EntryLoop::nextWake() const
{
    auto wake = now() + LongestWait;
    if (const auto due = owner_.nextWake())
        wake = std::min(wake, *due);
    if (const auto due = query_.nextWake())
        wake = std::min(wake, *due);
    return wake;
}

void EntryLoop::runCores()
{
    owner_.tick(now());
    query_.tick(now());
    drainActions();
}

void EntryLoop::drainActions()
{
    // Actions of one core can cause actions of the other, because own servers are reached directly.
    while (true) {
        auto queryActions = query_.takeActions();
        auto ownerActions = owner_.takeActions();
        if (queryActions.empty() && ownerActions.empty())
            return;
        for (auto &action : queryActions)
            std::visit([this](auto &concrete) { perform(std::move(concrete)); }, action);
        for (auto &action : ownerActions)
            std::visit([this](auto &concrete) { perform(std::move(concrete)); }, action);
    }
}

void EntryLoop::tickPeriodically()
{
    observeOwnServers();
    observer_.poll(configuration_.directory());
    if (vmList_.reload())
        configureOwner();
    metrics_.update(query_.statistics());
    const auto observations = owner_.observations();
    for (const auto &observation : observations)
        metrics_.update(observation);
    updatePeerMetrics(*context_.metrics, endpoint_.traffic());
    metrics_.updateProcess(context_.lease->until() - now(), configuration_.revision(), observations.size());
    context_.events->postAt(now() + PeriodicInterval, [this] { tickPeriodically(); });
}

// Callers

void EntryLoop::acceptQuery(Query::CallerQuery query, Base::Instant arrivedAt, QueryDone done)
{
    const auto &document = configuration_.document();
    // Names that the document does not know would let callers add metrics without bound.
    const bool isKnown = document && document->findClass(query.trafficClass) != nullptr
                         && document->findTenant(query.tenant) != nullptr;
    OpenCaller caller {isKnown ? query.trafficClass : "unknown", isKnown ? query.tenant : "unknown",
                       arrivedAt, std::move(done)};
    query.token = callers_.add(std::move(caller));
    query_.acceptQuery(now(), std::move(query));
}

void EntryLoop::perform(Query::CompleteQuery action)
{
    auto caller = callers_.take(action.token);
    if (!caller)
        return;
    metrics_.queryEnded(caller->trafficClass, caller->tenant, now() - caller->arrivedAt, action.completion);
    caller->done(std::move(action.completion));
}

std::string EntryLoop::describeStatus() const
{
    const auto leaseLeft = context_.lease->until() - now();
    nlohmann::ordered_json status {
        {"entry", self_.entryId},
        {"incarnation", self_.incarnation},
        {"data_centre", self_.dataCentre},
        {"state", phaseName(self_.state)},
        {"lease_valid", context_.lease->isValid()},
        {"lease_left_ms", context_.lease->isValid() ? leaseLeft / Base::milliseconds(1) : 0},
        {"revision", configuration_.revision()},
        {"document_hash", configuration_.directory().accepted.documentHash},
        {"staged_revision", configuration_.stagedRevision()},
        {"directory_version", configuration_.directory().version},
        {"servers", nlohmann::ordered_json::array()},
    };
    for (const auto &server : owner_.observations()) {
        status["servers"].push_back({{"id", server.serverId},
                                     {"versions", server.versions},
                                     {"reachable", server.reachable},
                                     {"draining", server.draining},
                                     {"slots", server.slots},
                                     {"in_flight", server.inFlight},
                                     {"queued", server.queued},
                                     {"latency_us", server.recentLatencyMicroseconds},
                                     {"reported_load", server.reportedLoad}});
    }
    return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Sub-requests

void EntryLoop::perform(const Query::SendSubrequest &action)
{
    if (!context_.lease->isValid()) {
        query_.subrequestFailed(
            now(), action.request.attemptId,
            {ErrorKind::PeerUnreachable, "the lease expired before the sub-request was sent"});
        return;
    }
    if (action.ownerEntryId == self_.entryId)
        owner_.submit(now(), SenderTable::Local, action.request);
    else
        subrequests_.send(action);
}

void EntryLoop::perform(const Query::CancelSubrequest &action)
{
    if (action.ownerEntryId == self_.entryId)
        owner_.cancel(now(), action.attemptId);
    else
        subrequests_.cancel(action.attemptId);
}

void EntryLoop::subrequestEnded(const std::string &attemptId,
                                const Base::Result<Wire::ExecuteSubrequestReply> &reply)
{
    if (reply)
        query_.subrequestReplied(now(), *reply);
    else
        query_.subrequestFailed(now(), attemptId, reply.error());
}

void EntryLoop::acceptSubrequest(const Wire::ExecuteSubrequestRequest &request,
                                 std::shared_ptr<Peer::Responder> responder)
{
    owner_.submit(now(), senders_.add(std::move(responder)), request);
}

void EntryLoop::cancelSubrequest(const std::string &attemptId)
{
    owner_.cancel(now(), attemptId);
}

void EntryLoop::perform(const Backend::ReplyToSender &action)
{
    metrics_.attemptEnded(action.reply.observation.serverId, action.reply);
    if (action.sender == SenderTable::Local) {
        query_.subrequestReplied(now(), action.reply);
        return;
    }
    if (const auto responder = senders_.take(action.sender))
        responder->reply(Wire::encode(action.reply));
}

// Non-idempotent requests

void EntryLoop::perform(const Query::SendClaim &action)
{
    const auto queryId = action.queryId;
    const auto done = [this, queryId](const Base::Result<Base::Bytes> &result) {
        const auto reply = result ? Wire::decode<Wire::ClaimRequestReply>(*result)
                                  : Base::Result<Wire::ClaimRequestReply>(tl::unexpect, result.error());
        if (reply)
            query_.claimReplied(now(), queryId, *reply);
        else
            query_.claimFailed(now(), queryId, reply.error());
    };
    // The attempt number in the claim makes a repeat recognisable, so a lost reply may be asked for again.
    control_.call(Wire::Method::ClaimRequest, Wire::encode(action.request), action.timeout,
                  LeaderClient::Repeat::Always, done);
}

void EntryLoop::perform(const Query::SendRecordOutcome &action)
{
    const auto queryId = action.queryId;
    const auto done = [this, queryId](const Base::Result<Base::Bytes> &result) {
        const auto reply = result ? Wire::decode<Wire::RecordOutcomeReply>(*result)
                                  : Base::Result<Wire::RecordOutcomeReply>(tl::unexpect, result.error());
        if (reply)
            query_.outcomeReplied(now(), queryId, *reply);
        else
            query_.outcomeFailed(now(), queryId, reply.error());
    };
    control_.call(Wire::Method::RecordOutcome, Wire::encode(action.request), action.timeout,
                  LeaderClient::Repeat::Always, done);
}

// Backend servers

void EntryLoop::connectionOpened(const std::string &serverId, Backend::ConnectionId connection)
{
    owner_.connectionOpened(now(), serverId, connection);
}

void EntryLoop::connectionClosed(const std::string &serverId, Backend::ConnectionId connection)
{
    connector_.forget(connection);
    owner_.connectionClosed(now(), serverId, connection);
}

void EntryLoop::replied(const std::string &attemptId, const Backend::BackendReply &reply, bool usable)
{
    owner_.replied(now(), attemptId, reply, usable);
}

void EntryLoop::statusPolled(const std::string &serverId, const std::optional<Backend::BackendStatus> &status)
{
    owner_.statusPolled(now(), serverId, status);
    observeOwnServers();
}

void EntryLoop::observe(const std::string &ownerEntryId, const std::vector<Wire::ServerObservation> &servers)
{
    query_.serversObserved(now(), ownerEntryId, servers);
}

void EntryLoop::observeOwnServers()
{
    observe(self_.entryId, owner_.observations());
}

// Lease and configuration

Wire::RenewLeaseRequest EntryLoop::describeRenewal() const
{
    Wire::RenewLeaseRequest request;
    request.entry = self_;
    request.releasedShares = owner_.releasedShares();
    configuration_.describe(request);
    return request;
}

void EntryLoop::leaseGranted(Base::Instant sentAt, Wire::RenewLeaseReply reply)
{
    grantedUntil_ = sentAt + Base::Duration(reply.leaseMicroseconds);
    if (reply.directoryChanged && configuration_.update(std::move(reply.directory)))
        configurationChanged();
    configuration_.advance();
    extendLease();
}

void EntryLoop::extendLease()
{
    // A lease without the accepted revision would let this process answer from an older one.
    if (!grantedUntil_ || !configuration_.isCaughtUp())
        return;
    context_.lease->extendTo(std::max(context_.lease->until(), *grantedUntil_));
    query_.leaseExtended(now(), context_.lease->until());
    owner_.setLease(context_.lease->until());
}

void EntryLoop::configurationChanged()
{
    const auto &directory = configuration_.directory();
    query_.directoryChanged(now(), directory);
    if (configuration_.document()) {
        query_.documentInForce(now(), configuration_.revision(), configuration_.document());
        if (self_.state == Wire::EntryState::Joining)
            self_.state = Wire::EntryState::Serving;
    }
    configureOwner();
    publishDirectory();
    extendLease();
    observer_.poll(directory);
    leaseClient_.renewNow();
}

void EntryLoop::configureOwner()
{
    const auto &directory = configuration_.directory();
    if (!configuration_.document())
        return;
    owner_.configure(now(), *configuration_.document(), directory.shares, vmList_.leaving());
    std::set<std::string> owned;
    for (const auto &share : directory.shares) {
        if (share.entryId != self_.entryId)
            continue;
        owned.insert(share.serverId);
        if (share.releaseRequested || phase_ == Phase::Finishing)
            owner_.release(share.serverId);
    }
    connector_.retainServers(owned);
    observeOwnServers();
}

void EntryLoop::publishDirectory()
{
    const auto &document = configuration_.document();
    context_.directory->update(configuration_.directory(), configuration_.revision(),
                               document ? document->addressMaxAge : Base::Duration {});
}

// Shutdown

void EntryLoop::beginShutdown()
{
    if (phase_ != Phase::Running)
        return;
    phase_ = Phase::Leaving;
    self_.state = Wire::EntryState::Leaving;
    leaseClient_.renewNow();
    const auto &document = configuration_.document();
    const auto serveOn = document ? document->addressMaxAge + AddressMargin : Base::Duration {};
    Log.info("Leaving; serving on for the address age.", {{"serve_on_ms", Base::toMilliseconds(serveOn)}});
    context_.events->postAt(now() + serveOn, [this] { stopServing(); });
}

void EntryLoop::stopServing()
{
    phase_ = Phase::Finishing;
    query_.shutdownStarted(now());
    owner_.releaseAll();
    leaseClient_.renewNow();
    finishWhenIdle(now() + ReleaseTimeout);
}

bool EntryLoop::ownsShares() const
{
    const auto &shares = configuration_.directory().shares;
    return std::any_of(shares.begin(), shares.end(),
                       [this](const Wire::ShareRecord &share) { return share.entryId == self_.entryId; });
}

void EntryLoop::finishWhenIdle(Base::Instant deadline)
{
    // Without a lease, control takes the shares by itself.
    const bool released = !ownsShares() || !context_.lease->isValid() || now() >= deadline;
    if (!query_.busy() && !owner_.hasWork() && released) {
        leaseClient_.stop();
        // A renewal that overtook the last message would register this process again.
        if (!leaseClient_.isInFlight()) {
            sendFinished();
            return;
        }
    }
    context_.events->postAt(now() + IdleCheckInterval, [this, deadline] { finishWhenIdle(deadline); });
}

void EntryLoop::sendFinished()
{
    auto request = describeRenewal();
    request.finished = true;
    control_.call(Wire::Method::RenewLease, Wire::encode(request), FinishedTimeout,
                  LeaderClient::Repeat::Always, [this](const Base::Result<Base::Bytes> & /*result*/) {
                      Log.info("Finished.");
                      phase_ = Phase::Stopped;
                  });
}

} // namespace Services
