#include "Services/Gateway/Forwarder.h"

#include "Services/Gateway/ForwardedHead.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <fmt/format.h>
#include <random>

namespace Services {

namespace {

using Importance = Base::EventLog::Importance;

/// Typical time from the start of a process until it knows its routes and servers, even if all registries
/// start at the same time.
constexpr Base::Duration TypicalStartupTime = Base::milliseconds(900);
/// Maximum body size of one part of a gather. Parts hold records of 16 bytes, of which a merge keeps a few.
constexpr std::uint64_t MaxPartBytes = std::uint64_t {1} * 1024 * 1024;
/// Size up to which each attempt copies the body of its request.
constexpr std::size_t MaxJoinedBody = std::size_t {16} * 1024;
/// Minimum Retry-After of a gateway that is not ready.
constexpr Base::Duration MinRetryAfter = Base::milliseconds(250);
/// Retry-After of a gateway that has lost touch with the registries. Load pattern: a few VMs are cut off or
/// have been frozen while the others serve; callers go to another gateway, which needs no time to prepare.
constexpr Base::Duration OutOfTouchRetryAfter = Base::milliseconds(100);

std::string formatSeconds(Base::Duration duration)
{
    return fmt::format("{:.3f}", Base::toMilliseconds(duration) / 1000.0);
}

std::optional<Base::Duration> parseDeadline(std::string_view text)
{
    double milliseconds = 0.0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (text.empty() || result.ec != std::errc() || !(milliseconds >= 0.0) || milliseconds > 1e9)
        return std::nullopt;
    return Base::Duration(static_cast<Base::Duration::rep>(milliseconds * 1000.0));
}

std::string_view sharingName(Forward::SharingRecord::Result result)
{
    using Result = Forward::SharingRecord::Result;
    switch (result) {
    case Result::NotNeeded:
        return "not_needed";
    case Result::Waited:
        return "waited";
    case Result::Refused:
        return "refused";
    case Result::RefusedForOther:
        return "refused_for_other";
    }
    return "not_needed";
}

std::string_view outcomeName(const Forward::Outcome &outcome)
{
    switch (outcome.kind) {
    case Forward::Outcome::Kind::Relay:
        return outcome.response.status / 100 == 2 ? "served" : "server_failure";
    case Forward::Outcome::Kind::Gathered:
        return outcome.missingParts == 0 ? "served" : "partial";
    case Forward::Outcome::Kind::Refused:
        return Base::errorName(outcome.error);
    }
    return "internal";
}

} // namespace

Forwarder::Forwarder(Edge::Loop &loop, const Adapter::PlatformAdapter &adapter, Base::EventLog &events,
                     GatewayMetrics &metrics, const Forward::ForwardOptions &options,
                     Base::Duration keyRemovalBound, std::shared_ptr<Edge::MemoryAccount> memory)
    : loop_(loop)
    , adapter_(adapter)
    , events_(events)
    , metrics_(metrics)
    , core_(options)
    , pool_(loop, *this, std::move(memory))
    , startedAt_(clock_.now())
    , authenticator_(keyRemovalBound)
{
}

void Forwarder::setRoutes(std::shared_ptr<const Route::RouteTable> table)
{
    table_ = std::move(table);
    std::set<std::string, std::less<>> services;
    for (const auto &[name, service] : table_->configuration().services)
        services.emplace(name);
    core_.setServices(std::move(services));
    authenticator_.setTable(table_);
    applyColdLimits();
}

void Forwarder::setColdUnits(Forward::ColdUnits *units)
{
    coldUnits_ = units;
    applyColdLimits();
}

void Forwarder::applyColdLimits()
{
    std::map<std::string, double, std::less<>> limits;
    if (table_) {
        for (const auto &[name, service] : table_->configuration().services) {
            if (service.coldRequestsPerSecond > 0.0)
                limits.emplace(name, service.coldRequestsPerSecond);
        }
    }
    core_.setColdLimits(std::move(limits), coldUnits_);
}

void Forwarder::unitsArrived()
{
    core_.unitsArrived(clock_.now());
    performActions();
}

void Forwarder::setServers(Base::Instant now, const Wire::ServerList &list)
{
    serversReadAt_ = now - Base::milliseconds(list.ageMs);
    core_.setServers(now, list);
    performActions();
}

void Forwarder::setEvacuated(Base::Instant now, std::set<std::string, std::less<>> dataCentres)
{
    core_.setEvacuated(now, std::move(dataCentres));
    performActions();
}

bool Forwarder::usesBody(const Edge::RequestMessage &head) const
{
    return !refusingNewRequests_ && table_ && hasServers()
           && table_->find(head.header("Host"), head.path()) != nullptr;
}

void Forwarder::handle(Edge::RequestMessage request, const Edge::CallerExchange &caller)
{
    std::vector<std::string_view> keys;
    if (authenticator_.isActive()) {
        for (const auto &[name, value] : request.headers) {
            if (Edge::equalsIgnoringCase(name, adapter_.headers().callerKey))
                keys.emplace_back(value);
        }
    }
    const auto judgement = judge(request.header("Host"), request.path(), keys);
    if (judgement.refusal)
        return refuse(request, caller, judgement.refusal->error, judgement.refusal->cause);
    admit(request, caller, *judgement.route, judgement.tenant);
}

/// `keys` holds every key that the request names.
Forwarder::Judgement Forwarder::judge(std::string_view host, std::string_view path,
                                      std::span<const std::string_view> keys) const
{
    const auto refused = [](Base::ErrorKind error, std::string_view cause) {
        return Judgement {nullptr, nullptr, Forward::Refusal {error, cause}};
    };
    if (refusingNewRequests_)
        return refused(Base::ErrorKind::ShuttingDown, "gateway is shutting down");
    if (!table_ || !hasServers())
        return refused(Base::ErrorKind::ControlUnavailable,
                       table_ ? "the list of servers is not known yet" : "no configuration is known yet");
    Judgement judgement;
    judgement.route = table_->find(host, path);
    if (judgement.route == nullptr)
        return refused(Base::ErrorKind::NotFound, "no route matches");
    if (!authenticator_.isActive())
        return judgement;
    const auto verdict = authenticator_.check(clock_.now(), *judgement.route, keys);
    judgement.tenant = verdict.tenant;
    if (verdict.refusal)
        judgement.refusal = Forward::Refusal {*verdict.refusal, verdict.cause};
    return judgement;
}

RequestExplanation Forwarder::explain(const ExplainQuestion &question) const
{
    const auto now = clock_.now();
    std::vector<std::string_view> keys;
    if (question.key)
        keys.emplace_back(*question.key);
    const auto path = std::string_view(question.path).substr(0, question.path.find('?'));
    const auto judgement = judge(question.host, path, keys);
    RequestExplanation explanation;
    explanation.table = table_;
    explanation.serverListAge = now - serversReadAt_;
    explanation.route = judgement.route;
    explanation.tenant = judgement.tenant;
    // The listener refuses such a body before the request counts.
    if (table_ && question.size > table_->configuration().limits.maxBodyBytes)
        explanation.refusal = Forward::Refusal {Base::ErrorKind::RequestTooLarge,
                                                "the body exceeds the limit of the configuration"};
    if (!explanation.refusal)
        explanation.refusal = judgement.refusal;
    if (judgement.route == nullptr)
        return explanation;
    explanation.unit = foreseeUnit(now, judgement, question);
    if (!explanation.refusal && explanation.unit && *explanation.unit != Allowance::Taking::Kind::Granted
        && *explanation.unit != Allowance::Taking::Kind::Waiting)
        explanation.refusal = unitRefusal(*explanation.unit);
    auto callerDelay = Forward::estimateCallerDelay(std::nullopt, false);
    callerDelay.network += answerLag_.allowance();
    explanation.placing =
        core_.explain(now, {table_, judgement.route, std::nullopt, callerDelay, judgement.tenant});
    if (!explanation.refusal)
        explanation.refusal = explanation.placing->refusal;
    return explanation;
}

/// Hands a request that may be served to the core.
void Forwarder::admit(Edge::RequestMessage &request, const Edge::CallerExchange &caller,
                      const Route::RouteRule &route, const Route::TenantRule *tenant)
{
    // The configuration has changed since the head arrived.
    if (request.bodyDropped && request.hasBody)
        return refuse(request, caller, Base::ErrorKind::ControlUnavailable,
                      "the route is newer than the request");
    HeldUnit held;
    if (!obtainUnit(request, caller, route, tenant, held))
        return;
    const auto now = clock_.now();
    auto callerDelay = Forward::estimateCallerDelay(caller.roundTripTime(), caller.isFirstOnConnection());
    callerDelay.network += answerLag_.allowance() + held.waited;
    auto deadline = parseDeadline(request.header(adapter_.headers().deadline));
    if (deadline)
        *deadline = std::max(*deadline - held.waited, Base::Duration::zero());
    const auto id = core_.begin(now, {table_, &route, deadline, callerDelay, tenant});
    auto &pending = pending_[id];
    pending.arrivedAt = now - held.waited;
    pending.held = std::move(held);
    pending.caller = caller;
    pending.requestId = request.header(adapter_.headers().requestId);
    pending.routeName = route.name;
    if (tenant != nullptr)
        pending.tenantName = tenant->name;
    pending.version = table_->version();
    pending.callerDelay = callerDelay.network;
    pending.head = forwardedHead(request, adapter_.headers(), table_->configuration(), tenant);
    if (!request.body.empty())
        pending.body = std::make_shared<const std::string>(std::move(request.body));
    pending.headRequest = request.method == "HEAD";
    pending.attemptsAllowed = route.attempts;
    pending.isGather = route.gather.has_value();
    pending.repeatable = route.repeatability == Route::Repeatability::Idempotent;
    caller.onCallerLeft([this, id] {
        const auto found = pending_.find(id);
        if (found == pending_.end())
            return;
        const auto leftAt = clock_.now();
        events_.write(leftAt, Importance::Routine, "caller_left",
                      {{"request", found->second.requestId},
                       {"route", found->second.routeName},
                       {"after_ms", Base::toMilliseconds(leftAt - found->second.arrivedAt)}});
        metrics_.requestAnswered(found->second.routeName, "caller_left", leftAt - found->second.arrivedAt);
        if (!found->second.held.unit.key.empty())
            unitsOfGone_.emplace(id, std::move(found->second.held));
        pending_.erase(found);
        core_.callerLeft(leftAt, id);
        performActions();
    });
    performActions();
}

/// Callers have only a few attempts, so Retry-After names a time at which this gateway is likely to be ready.
/// Load pattern: many callers connect at once to a gateway that has just started.
Base::Duration Forwarder::timeUntilReady(Base::Instant now) const
{
    return std::max(MinRetryAfter, startedAt_ + TypicalStartupTime - now);
}

Base::Duration Forwarder::retryAfter(Base::Instant now, Base::ErrorKind error) const
{
    const bool hadTouch = authenticator_.currency().confirmedAt().has_value();
    if (error == Base::ErrorKind::ConfigurationNotCurrent && hadTouch)
        return OutOfTouchRetryAfter;
    return timeUntilReady(now);
}

Edge::ResponseMessage Forwarder::refusalOf(const std::string &requestId, Base::ErrorKind error,
                                           std::optional<Base::Duration> retryAfter) const
{
    Edge::ResponseMessage response;
    response.status = Base::errorAnswer(error).httpStatus;
    if (!requestId.empty())
        response.headers.emplace_back(adapter_.headers().requestId, requestId);
    if (retryAfter)
        response.headers.emplace_back("Retry-After", formatSeconds(*retryAfter));
    return response;
}

void Forwarder::refuse(const Edge::RequestMessage &request, const Edge::CallerExchange &caller,
                       Base::ErrorKind error, std::string_view cause)
{
    const auto now = clock_.now();
    const auto status = Base::errorAnswer(error).httpStatus;
    const std::string requestId(request.header(adapter_.headers().requestId));
    std::optional<Base::Duration> mayReturnIn;
    if (status == 503)
        mayReturnIn = retryAfter(now, error);
    caller.respond(refusalOf(requestId, error, mayReturnIn));
    metrics_.requestAnswered("none", std::string(Base::errorName(error)), {});
    events_.write(now, Importance::Notable, "request_answered",
                  {{"request", requestId},
                   {"host", request.header("Host")},
                   {"path", request.path()},
                   {"outcome", Base::errorName(error)},
                   {"status", status},
                   {"configuration_version", table_ ? table_->version() : 0},
                   {"cause", cause}});
}

/// Performs the core's actions until none are left; nested calls leave theirs to the outermost one.
void Forwarder::performActions()
{
    if (performing_)
        return;
    performing_ = true;
    for (auto actions = core_.takeActions(); !actions.empty(); actions = core_.takeActions()) {
        for (auto &action : actions)
            performAction(action);
    }
    performing_ = false;
    armTimer();
}

/// Performs one action. A failure is logged and does not prevent the remaining actions.
void Forwarder::performAction(Forward::Action &action)
{
    try {
        if (auto *sendAction = std::get_if<Forward::SendAttempt>(&action)) {
            send(*sendAction);
        } else if (auto *abortAction = std::get_if<Forward::AbortAttempt>(&action)) {
            attemptRequestIds_.erase(abortAction->attempt);
            pool_.abort(abortAction->attempt);
            metrics_.attemptEnded("aborted");
        } else if (auto *answerAction = std::get_if<Forward::AnswerCaller>(&action)) {
            answerCaller(*answerAction);
        } else if (const auto *gone = std::get_if<Forward::CallerGone>(&action)) {
            settleUnitOfGone(gone->exchange, gone->notRun);
        } else if (const auto *notice = std::get_if<Forward::ServerNotice>(&action)) {
            logNotice(*notice);
        } else if (const auto *change = std::get_if<Forward::LimitChange>(&action)) {
            logLimitChange(*change);
        }
    } catch (const std::exception &exception) {
        events_.write(clock_.now(), Importance::Notable, "action_failed", {{"reason", exception.what()}});
    }
}

void Forwarder::send(const Forward::SendAttempt &action)
{
    const auto found = pending_.find(action.exchange);
    if (found == pending_.end()) {
        // The caller disconnected before the attempt was sent.
        core_.attemptFailed(clock_.now(), action.attempt, Edge::ExchangeFailure::NotSent);
        return;
    }
    const auto &pending = found->second;
    const auto &names = adapter_.headers();
    const auto milliseconds = std::max<std::int64_t>(1, action.timeLeft / Base::milliseconds(1));
    std::string request;
    // A small body travels with its head, which saves a system call; a large one is shared by all attempts.
    const bool joined = pending.body && pending.body->size() <= MaxJoinedBody;
    request.reserve(pending.head.size() + (joined ? pending.body->size() : 0) + 128);
    request += pending.head;
    fmt::format_to(std::back_inserter(request), "{}: {}\r\n{}: {}\r\n\r\n", names.deadline, milliseconds,
                   names.targetServer, action.backend->record.id);
    if (joined)
        request += *pending.body;
    attemptRequestIds_[action.attempt] = pending.requestId;
    Edge::ReplyFraming framing;
    framing.headRequest = pending.headRequest;
    if (pending.isGather)
        framing.maxBodyBytes = MaxPartBytes;
    pool_.send(action.attempt, action.backend, std::move(request), joined ? nullptr : pending.body, framing,
               !pending.repeatable);
}

bool Forwarder::answersAttempt(Forward::AttemptId attempt, const Forward::Backend &backend,
                               const Edge::ResponseMessage &response)
{
    const auto expected = attemptRequestIds_.find(attempt);
    const auto echoed = response.header(adapter_.headers().requestId);
    if (expected == attemptRequestIds_.end() || echoed == expected->second)
        return true;
    metrics_.attemptEnded("foreign_response");
    events_.write(clock_.now(), Importance::Notable, "foreign_response_dropped",
                  {{"request", expected->second},
                   {"response_to", echoed},
                   {"status", response.status},
                   {"server", backend.record.id},
                   {"service", backend.record.service}});
    return false;
}

void Forwarder::attemptReplied(Forward::AttemptId attempt, Edge::ResponseMessage response)
{
    const auto &names = adapter_.headers();
    const auto requestId = attemptRequestIds_.extract(attempt);
    const bool succeeded = response.status / 100 == 2;
    Forward::AttemptReply reply;
    reply.requestId = requestId ? requestId.mapped() : std::string();
    reply.pause = adapter_.decodePause(response.header("Retry-After"));
    reply.announcesLeaving = adapter_.announcesLeaving(response.header(names.serverLeaving));
    reply.proof = response.header(names.serverProof);
    reply.notExecuted = !response.header(names.notExecuted).empty();
    // Callers request bodies without a content encoding, so an encoded body was not produced by the server.
    reply.isWhole = !succeeded || (response.header("Content-Encoding").empty() && !reply.proof.empty());
    reply.load = adapter_.decodeServerLoad(response.header(names.serverLoad));
    reply.warmUp = adapter_.decodeWarmUp(response.header(names.serverWarmUp));
    reply.response = std::move(response);
    metrics_.attemptEnded(reply.notExecuted ? "not_executed"
                                            : fmt::format("status_{}", reply.response.status));
    core_.replyArrived(clock_.now(), attempt, std::move(reply));
    performActions();
}

void Forwarder::attemptFailed(Forward::AttemptId attempt, Edge::ExchangeFailure failure,
                              const std::string &detail)
{
    const auto requestId = attemptRequestIds_.extract(attempt);
    if (failure == Edge::ExchangeFailure::ReplyTooLarge)
        events_.write(clock_.now(), Importance::Notable, "reply_too_large",
                      {{"request", requestId ? requestId.mapped() : std::string()},
                       {"detail", detail},
                       {"buffered_bytes", pool_.bufferedBytes()}});
    metrics_.attemptEnded(std::string(Edge::exchangeFailureName(failure)));
    core_.attemptFailed(clock_.now(), attempt, failure);
    performActions();
}

void Forwarder::logNotice(const Forward::ServerNotice &notice)
{
    const auto now = clock_.now();
    const auto &record = notice.backend->record;
    const bool isPause = notice.kind == Forward::ServerNotice::Kind::Pause;
    metrics_.serverNotice(isPause ? "pause" : "leaving");
    events_.write(now, Importance::Notable, isPause ? "server_paused" : "server_leaving",
                  {{"server", record.id},
                   {"started_at", record.bornAt},
                   {"service", record.service},
                   {"address", record.address},
                   {"until_in_ms", Base::toMilliseconds(notice.until - now)},
                   {"source", notice.requestId}});
}

void Forwarder::logLimitChange(const Forward::LimitChange &change)
{
    const auto &record = change.backend->record;
    metrics_.serverLimitChanged(change.to < change.from ? "lowered" : "raised");
    events_.write(clock_.now(), Importance::Notable, "server_limit_changed",
                  {{"server", record.id},
                   {"service", record.service},
                   {"slots", record.slots},
                   {"from", change.from},
                   {"to", change.to},
                   {"best_latency_ratio", change.latencyRatio}});
}

void Forwarder::answerCaller(Forward::AnswerCaller &action)
{
    const bool notRun = action.outcome.kind == Forward::Outcome::Kind::Refused
                        && Base::errorAnswer(action.outcome.error).runState == Base::RunState::NotRun;
    const auto found = pending_.find(action.exchange);
    // The caller disconnected; this was logged already.
    if (found == pending_.end())
        return settleUnitOfGone(action.exchange, notRun);
    const auto pending = std::move(found->second);
    pending_.erase(found);
    if (notRun)
        giveBackUnit(pending.held);
    auto response = responseFor(pending, action.outcome);
    const auto status = response.status;
    pending.caller.respond(std::move(response));
    const auto now = clock_.now();
    if (action.outcome.dueAt)
        answerLag_.record(*action.outcome.dueAt, now);
    metrics_.requestAnswered(pending.routeName, std::string(outcomeName(action.outcome)),
                             now - pending.arrivedAt);
    logAnswer(now, pending, action.outcome, status);
    if (action.outcome.sharing.result != Forward::SharingRecord::Result::NotNeeded)
        logSharing(now, pending, action.outcome.sharing, action.outcome.cause);
}

/// Tells who waited for room that tenants share, who was refused, and for whom.
void Forwarder::logSharing(Base::Instant now, const PendingRequest &pending,
                           const Forward::SharingRecord &record, std::string_view cause)
{
    const auto result = sharingName(record.result);
    metrics_.roomShared(std::string(result), record.aboveShare);
    const bool waited = record.result == Forward::SharingRecord::Result::Waited;
    events_.write(now, waited ? Importance::Routine : Importance::Notable, "scarce_room",
                  {{"request", pending.requestId},
                   {"route", pending.routeName},
                   {"tenant", record.tenant},
                   {"result", result},
                   {"tenant_class", record.aboveShare ? "above_share" : "below_share"},
                   {"ms", Base::toMilliseconds(now - pending.arrivedAt)},
                   {"cause", cause}});
}

Edge::ResponseMessage Forwarder::responseFor(const PendingRequest &pending, Forward::Outcome &outcome) const
{
    if (outcome.kind == Forward::Outcome::Kind::Relay)
        return std::move(outcome.response);
    if (outcome.kind != Forward::Outcome::Kind::Gathered)
        return refusalOf(pending.requestId, outcome.error, outcome.retryAfter);
    const auto &names = adapter_.headers();
    Edge::ResponseMessage response;
    if (!pending.requestId.empty())
        response.headers.emplace_back(names.requestId, pending.requestId);
    response.body = std::move(outcome.response.body);
    response.headers.emplace_back(names.partProofs, fmt::format("{}", fmt::join(outcome.partProofs, ", ")));
    response.headers.emplace_back(names.missingParts, std::to_string(outcome.missingParts));
    return response;
}

void Forwarder::logAnswer(Base::Instant now, const PendingRequest &pending, const Forward::Outcome &outcome,
                          int status)
{
    const auto name = outcomeName(outcome);
    const auto importance = name == "served" ? Importance::Routine : Importance::Notable;
    if (!events_.admits(now, importance))
        return;
    std::vector<Base::LogField> fields {{"request", pending.requestId},
                                        {"route", pending.routeName},
                                        {"outcome", name},
                                        {"status", status},
                                        {"ms", Base::toMilliseconds(now - pending.arrivedAt)},
                                        {"caller_delay_ms", Base::toMilliseconds(pending.callerDelay)},
                                        {"configuration_version", pending.version},
                                        {"servers_age_ms", (now - serversReadAt_) / Base::milliseconds(1)},
                                        {"repeatable", pending.repeatable},
                                        {"attempts_allowed", pending.attemptsAllowed},
                                        {"attempts", outcome.attempts},
                                        {"extra_attempts", outcome.extraAttempts},
                                        {"missing", outcome.missingParts},
                                        {"lacking", outcome.lackingShards},
                                        {"cause", outcome.cause}};
    if (!pending.tenantName.empty())
        fields.emplace_back("tenant", pending.tenantName);
    events_.append("request_answered", fields);
}

void Forwarder::endAll()
{
    endUnitWaiters();
    core_.endAll(clock_.now());
    performActions();
}

void Forwarder::armTimer()
{
    const auto next = core_.nextTimer();
    if (!next) {
        if (timerDeadline_ != Base::Instant::max())
            loop_.clearWakeUp();
        timerDeadline_ = Base::Instant::max();
        return;
    }
    if (*next == timerDeadline_)
        return;
    timerDeadline_ = *next;
    loop_.setWakeUp(std::max(Base::Duration::zero(), *next - clock_.now()), [this] {
        timerDeadline_ = Base::Instant::max();
        core_.runTimers(clock_.now());
        performActions();
    });
}

/// Logs when this gateway stops or resumes serving keys.
void Forwarder::watchCurrency(Base::Instant now)
{
    if (!authenticator_.needsConfirmations())
        return;
    const auto confirmedAt = authenticator_.currency().confirmedAt();
    const auto ageMs = confirmedAt ? Base::toMilliseconds(now - *confirmedAt) : -1.0;
    metrics_.setGauge("daisyroute_configuration_confirmed_age_seconds",
                      "Time since the configuration is known to have been the newest; negative if never.",
                      ageMs / 1000.0);
    const bool serves = authenticator_.mayServeKeys(now);
    if (std::exchange(servesKeys_, serves) != serves)
        events_.write(now, Importance::Notable, serves ? "keys_served_again" : "keys_not_served",
                      {{"configuration_version", table_->version()}, {"confirmed_before_ms", ageMs}});
}

void Forwarder::maintain(Base::Instant now)
{
    watchCurrency(now);
    pool_.closeUnusedConnections();
    metrics_.setGauge("daisyroute_requests_in_flight", "Requests of callers without an answer.",
                      static_cast<double>(core_.exchangesInFlight()));
    metrics_.setGauge("daisyroute_legs_waiting", "Sub-requests that wait for a connection.",
                      static_cast<double>(core_.legsWaiting()));
    metrics_.setGauge("daisyroute_backend_connections_opened", "Connections opened since the start.",
                      static_cast<double>(pool_.connectionsOpened()));
    metrics_.setGauge("daisyroute_reply_bytes_buffered", "Unfinished large responses of backend servers.",
                      static_cast<double>(pool_.bufferedBytes()));
    metrics_.setGauge("daisyroute_backend_servers", "Backend servers listed.",
                      static_cast<double>(core_.backends().size()));
    metrics_.setGauge("daisyroute_backend_servers_limited",
                      "Backend servers that were found to take fewer attempts than their slots.",
                      static_cast<double>(core_.limitedServers()));
    metrics_.setGauge("daisyroute_cold_servers", "Backend servers that are warming up.",
                      static_cast<double>(coldServers(now)));
    metrics_.setGauge("daisyroute_evacuated_servers", "Backend servers in evacuated data centres.",
                      static_cast<double>(core_.backends().evacuatedCount()));
    metrics_.setGauge("daisyroute_server_list_age_seconds", "Age of the server list.",
                      Base::toMilliseconds(now - serversReadAt_) / 1000.0);
    metrics_.setGauge("daisyroute_configuration_version", "Version in force.",
                      table_ ? static_cast<double>(table_->version()) : 0.0);
}

} // namespace Services
