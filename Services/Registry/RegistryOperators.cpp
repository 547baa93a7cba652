// The operators' interface: reading and replacing the configuration, evacuating data centres.

#include "LibBase/Compression.h"
#include "LibRegistry/Formation.h"
#include "Services/Registry/RegistryProcess.h"

#include <algorithm>
#include <fmt/format.h>

namespace Services {

namespace {

using Base::ErrorKind;
using Importance = Base::EventLog::Importance;

/// Operators ask another registry after about a second without an answer.
constexpr Base::Duration ForwardTimeout = Base::milliseconds(900);
Edge::ResponseMessage jsonResponse(int status, std::string body)
{
    Edge::ResponseMessage response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

/// Cluster errors map to 503, so that operators retry here or elsewhere; only client errors are final.
int httpStatusOf(ErrorKind kind)
{
    const int status = Base::errorAnswer(kind).httpStatus;
    const bool isClientError = kind == ErrorKind::InvalidRequest || kind == ErrorKind::DocumentInvalid
                               || kind == ErrorKind::RequestTooLarge || kind == ErrorKind::NotFound;
    return isClientError ? status : 503;
}

Edge::ResponseMessage errorResponse(const Base::Error &error)
{
    return jsonResponse(httpStatusOf(error.kind),
                        fmt::format("{{\"error\":\"{}\"}}", Base::errorName(error.kind)));
}

} // namespace

void RegistryProcess::handleOperator(const Edge::RequestMessage &request,
                                     const Edge::CallerExchange &exchange)
{
    switch (adapter_.classify(request.method, request.path())) {
    case Adapter::Call::ReplaceConfiguration:
        return replaceConfiguration(request, exchange);
    case Adapter::Call::ReadConfiguration:
        return readConfiguration(exchange);
    case Adapter::Call::BeginEvacuation:
        return orderEvacuation(request, exchange, true);
    case Adapter::Call::EndEvacuation:
        return orderEvacuation(request, exchange, false);
    default:
        exchange.respond(errorResponse({ErrorKind::NotFound, {}}));
    }
}

void RegistryProcess::logOperatorAnswer(std::string_view operation, std::uint64_t version, int status,
                                        std::string_view detail)
{
    const auto now = clock_.now();
    if (!events_.admits(now, Importance::Notable))
        return;
    const auto raft = cluster_ ? cluster_->raft().status(now) : Consensus::RaftStatus {};
    events_.append("operator_answered",
                   {{"operation", operation},
                    {"version", version},
                    {"held_version", cluster_ ? cluster_->core().configuration().version() : 0},
                    {"status", status},
                    {"leader", raft.leaderId},
                    {"term", raft.term},
                    {"detail", detail}});
}

/// Whether this node leads a cluster that is too small to keep what it accepts.
bool RegistryProcess::isFormingLeader(Base::Instant now)
{
    if (!isLeader(now) || formation_.state() == Registry::FormationWatch::State::Undersized)
        return false;
    const auto status = cluster_->raft().status(now);
    return Registry::isForming(status, cluster_->core().configuration().version(), votersToForm());
}

void RegistryProcess::submit(std::uint64_t version, const std::string &text,
                             const Registry::RegistryCore::SubmitCallback &done)
{
    const auto now = clock_.now();
    if (isFormingLeader(now))
        return done(Base::fail(ErrorKind::ControlUnavailable, "cluster has fewer voters than required"));
    cluster_->core().submit(now, version, text, done);
    processReady();
}

void RegistryProcess::replaceConfiguration(const Edge::RequestMessage &request,
                                           const Edge::CallerExchange &exchange)
{
    const auto configuration = adapter_.decodeConfiguration(request.body, nullptr);
    const auto version = configuration ? configuration->version : 0;
    const auto answer = [this, exchange, version](const Base::Result<std::uint64_t> &held) {
        const auto response = held ? jsonResponse(200, "{}") : errorResponse(held.error());
        logOperatorAnswer("replace", version, response.status, held ? std::string() : held.error().detail);
        exchange.respond(response);
    };
    if (!configuration)
        return answer(tl::unexpected(configuration.error()));
    if (!cluster_)
        return answer(Base::fail(ErrorKind::StorageFailed, "data directory is not usable"));
    if (isLeader(clock_.now()))
        return submit(version, Base::compress(request.body), answer);
    if (cluster_->core().configuration().version() >= version)
        return answer(cluster_->core().configuration().version());
    const auto leader = leaderAddress(cluster_->raft().status(clock_.now()));
    if (leader.empty() || leader == settings_.registryPeerAddress())
        return answer(Base::fail(ErrorKind::ControlUnavailable, "no leader is known"));
    endpoint_->call(leader, Wire::Method::SubmitConfiguration,
                    Wire::encode(Wire::SubmitConfigurationRequest {version, Base::compress(request.body)}),
                    ForwardTimeout, [this, answer](const Base::Result<Base::Bytes> &payload) {
                        auto held = payload.and_then([](const Base::Bytes &bytes) {
                            return Wire::decode<Wire::SubmitConfigurationReply>(bytes);
                        });
                        loop_.post([answer, held = std::move(held)] {
                            answer(held.map([](const auto &reply) { return reply.heldVersion; }));
                        });
                    });
}

void RegistryProcess::readConfiguration(const Edge::CallerExchange &exchange)
{
    const auto answer = [this, exchange](std::uint64_t version, const Base::Result<std::string> &compressed) {
        const auto text = compressed.and_then([](const std::string &bytes) {
            return bytes.empty() ? Base::Result<std::string>()
                                 : Base::decompress(bytes, MaxConfigurationBytes);
        });
        auto response = text ? jsonResponse(200, *text) : errorResponse(text.error());
        if (text && version == 0)
            response = errorResponse({ErrorKind::ControlUnavailable, {}});
        logOperatorAnswer("read", version, response.status, text ? std::string() : text.error().detail);
        exchange.respond(response);
    };
    if (!cluster_)
        return answer(0, Base::fail(ErrorKind::StorageFailed));
    const auto now = clock_.now();
    const auto &configuration = cluster_->core().configuration();
    if (cluster_->core().isUpToDateLeader(now))
        return answer(configuration.version(), configuration.text());
    const auto leader = leaderAddress(cluster_->raft().status(now));
    if (leader.empty() || leader == settings_.registryPeerAddress())
        return answer(0, Base::fail(ErrorKind::ControlUnavailable, "no leader is known"));
    endpoint_->call(
        leader, Wire::Method::ReadConfiguration,
        Wire::encode(Wire::ReadConfigurationRequest {configuration.version()}), ForwardTimeout,
        [this, answer](const Base::Result<Base::Bytes> &payload) {
            auto reply = payload.and_then(
                [](const Base::Bytes &bytes) { return Wire::decode<Wire::ReadConfigurationReply>(bytes); });
            loop_.post([this, answer, reply = std::move(reply)] {
                if (!reply)
                    return answer(0, tl::unexpected(reply.error()));
                // The leader left the text out because this node held the same version when it asked.
                const auto &held = cluster_ ? cluster_->core().configuration().text() : std::string();
                const bool isHeld = reply->text.empty() && cluster_
                                    && cluster_->core().configuration().version() == reply->version;
                if (reply->text.empty() && !isHeld)
                    return answer(0, Base::fail(ErrorKind::ControlUnavailable,
                                                "configuration changed while it was being read"));
                answer(reply->version, isHeld ? held : reply->text);
            });
        });
}

/// A call that gets no clear answer may be repeated: the same order again changes nothing.
void RegistryProcess::orderEvacuation(const Edge::RequestMessage &request,
                                      const Edge::CallerExchange &exchange, bool evacuated)
{
    const auto dataCentre = adapter_.evacuatedDataCentre(request.path());
    const auto answer = [this, exchange, dataCentre, evacuated](const Base::Result<std::uint64_t> &revision) {
        const auto response = revision ? jsonResponse(200, "{}") : errorResponse(revision.error());
        const auto detail = revision ? fmt::format("data_centre={} revision={}", dataCentre, *revision)
                                     : fmt::format("data_centre={} {}", dataCentre, revision.error().detail);
        logOperatorAnswer(evacuated ? "evacuate" : "end_evacuation",
                          cluster_ ? cluster_->core().configuration().version() : 0, response.status, detail);
        exchange.respond(response);
    };
    if (dataCentre.empty())
        return answer(Base::fail(ErrorKind::InvalidRequest, "the path names no data centre"));
    if (!cluster_)
        return answer(Base::fail(ErrorKind::StorageFailed, "data directory is not usable"));
    const auto now = clock_.now();
    const Wire::ChangeEvacuationRequest order {dataCentre, evacuated,
                                               cluster_->core().evacuations().revision()};
    if (isLeader(now))
        return orderEvacuation(order, answer);
    const auto leader = leaderAddress(cluster_->raft().status(now));
    if (leader.empty() || leader == settings_.registryPeerAddress())
        return answer(Base::fail(ErrorKind::ControlUnavailable, "no leader is known"));
    endpoint_->call(leader, Wire::Method::ChangeEvacuation, Wire::encode(order), ForwardTimeout,
                    [this, answer](const Base::Result<Base::Bytes> &payload) {
                        auto reply = payload.and_then([](const Base::Bytes &bytes) {
                            return Wire::decode<Wire::ChangeEvacuationReply>(bytes);
                        });
                        loop_.post([answer, reply = std::move(reply)] {
                            answer(reply.map([](const auto &accepted) { return accepted.revision; }));
                        });
                    });
}

void RegistryProcess::orderEvacuation(const Wire::ChangeEvacuationRequest &order,
                                      const Registry::RegistryCore::EvacuationCallback &done)
{
    const auto now = clock_.now();
    if (isFormingLeader(now))
        return done(Base::fail(ErrorKind::ControlUnavailable, "cluster has fewer voters than required"));
    cluster_->core().orderEvacuation(now, order.dataCentre, order.evacuated, order.heldRevision, done);
    processReady();
}

} // namespace Services
