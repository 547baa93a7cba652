#include "Services/Gateway/RequestExplanation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Services {

namespace {

using Fate = Forward::LegExplanation::Fate;
using Kind = Allowance::Taking::Kind;
using nlohmann::json;

/// With the accuracy that people can use.
double rounded(double value)
{
    constexpr double Parts = 1000.0;
    return std::round(value * Parts) / Parts;
}

double milliseconds(Base::Duration duration)
{
    return rounded(Base::toMilliseconds(duration));
}

std::string_view fateName(Fate fate)
{
    return fate == Fate::Sent ? "sent" : fate == Fate::Waits ? "waits" : "missing";
}

std::string_view unitName(std::optional<Kind> kind)
{
    if (!kind)
        return "not_needed";
    switch (*kind) {
    case Kind::Granted:
        return "in_stock";
    case Kind::Waiting:
        return "ask_leader";
    case Kind::OverLimit:
        return "used_up";
    case Kind::Unavailable:
        return "unavailable";
    }
    return "unavailable";
}

json describeRoute(const Route::RouteRule &route)
{
    return {{"name", route.name},
            {"host", route.host},
            {"prefix", route.prefix},
            {"repeatable", route.repeatability == Route::Repeatability::Idempotent},
            {"attempts", route.attempts},
            {"target_ms", milliseconds(route.latencyTarget)},
            {"timeout_ms", milliseconds(route.timeout)},
            {"public", route.isPublic}};
}

json describeServer(const Forward::ServerStanding &standing)
{
    const auto &record = standing.server->record;
    json server {{"id", record.id},
                 {"address", record.address},
                 {"data_centre", record.dataCentre},
                 {"obstacle", Forward::obstacleName(standing.obstacle)},
                 {"may_be_chosen", standing.mayBeChosen},
                 {"cost_ms", rounded(standing.costMs)},
                 {"latency_ms", rounded(standing.latencyMs)},
                 {"distance_ms", rounded(standing.distanceMs)},
                 {"penalty_ms", rounded(standing.costMs - standing.latencyMs - standing.distanceMs)},
                 {"slowness", rounded(standing.slowness)},
                 {"error_rate", rounded(standing.errorRate)},
                 {"open", standing.open},
                 {"limit", standing.limit},
                 {"slots", record.slots},
                 {"limit_learned", standing.isLimitLearned},
                 {"long_queue", standing.reportsLongQueue},
                 {"stalled", standing.isStalled},
                 {"cold", standing.isCold},
                 {"last_resort", standing.availability == Forward::Availability::LastResort},
                 {"evacuated", standing.server->evacuated},
                 {"resuming", standing.isResuming},
                 {"paused_ms", milliseconds(standing.pausedFor)},
                 {"avoided_ms", milliseconds(standing.avoidedFor)},
                 {"cold_per_second", nullptr},
                 {"leaves_in_ms", nullptr},
                 {"load", nullptr}};
    if (standing.coldPerSecond)
        server["cold_per_second"] = *standing.coldPerSecond;
    if (standing.leavesIn)
        server["leaves_in_ms"] = milliseconds(*standing.leavesIn);
    if (standing.load)
        server["load"] = {{"running", standing.load->running},
                          {"waiting", standing.load->waiting},
                          {"slowdown", rounded(standing.load->slowdown)}};
    return server;
}

/// What there is to say of a service in one line.
json describeRoom(const Forward::LegExplanation &leg)
{
    json room {{"service", leg.service},
               {"fate", fateName(leg.fate)},
               {"server", nullptr},
               {"servers_listed", leg.servers.size()},
               {"servers_accepting", leg.accepting},
               {"free_attempts", leg.freeAttempts},
               {"waiting", leg.waiting},
               {"expected_wait_ms", milliseconds(leg.expectedWait)}};
    if (leg.fate == Fate::Sent)
        room["server"] = leg.servers.front().server->record.id;
    std::map<std::string, std::size_t> obstacles;
    for (const auto &standing : leg.servers) {
        if (standing.obstacle != Forward::Obstacle::None)
            ++obstacles[std::string(Forward::obstacleName(standing.obstacle))];
    }
    room["obstacles"] = obstacles;
    return room;
}

json describeService(const Forward::LegExplanation &leg)
{
    auto service = describeRoom(leg);
    service["connection_share"] = leg.connectionShare;
    service["attempts_per_second"] = rounded(leg.attemptsPerSecond);
    service["tenant_above_share"] = leg.aboveShare ? json(*leg.aboveShare) : json();
    auto &servers = service["servers"] = json::array();
    for (const auto &standing : leg.servers)
        servers.push_back(describeServer(standing));
    return service;
}

std::size_t countOf(const Forward::Explanation &placing, Fate fate)
{
    return static_cast<std::size_t>(
        std::count_if(placing.legs.begin(), placing.legs.end(),
                      [fate](const Forward::LegExplanation &leg) { return leg.fate == fate; }));
}

json describeGather(const Forward::Explanation &placing)
{
    json gather {{"shards", placing.legs.size()},
                 {"needed", static_cast<std::size_t>(std::ceil(placing.legsNeeded))},
                 {"sent", countOf(placing, Fate::Sent)},
                 {"waiting", countOf(placing, Fate::Waits)},
                 {"missing", countOf(placing, Fate::Missing)}};
    auto &legs = gather["legs"] = json::array();
    for (const auto &leg : placing.legs)
        legs.push_back(describeRoom(leg));
    return gather;
}

json describeSplit(const Forward::Explanation &placing)
{
    auto split = json::array();
    for (const auto &target : placing.targets)
        split.push_back({{"service", target.service}, {"weight", target.weight}, {"next", target.next}});
    return split;
}

} // namespace

std::string_view verdictOf(const RequestExplanation &explanation)
{
    if (explanation.refusal)
        return "refused";
    if (explanation.unit == Kind::Waiting)
        return "asks_leader";
    const auto &placing = *explanation.placing;
    return static_cast<double>(countOf(placing, Fate::Sent)) < placing.legsNeeded ? "waits" : "admitted";
}

json describeExplanation(const RequestExplanation &explanation, const ExplainQuestion &question)
{
    json text {{"configuration_version", explanation.table ? explanation.table->version() : 0},
               {"server_list_age_ms", milliseconds(explanation.serverListAge)},
               {"request",
                {{"host", question.host},
                 {"path", question.path},
                 {"size", question.size},
                 {"has_key", question.key.has_value()}}},
               {"verdict", verdictOf(explanation)},
               {"refusal", nullptr},
               {"route", nullptr},
               {"tenant", nullptr},
               {"allowance", unitName(explanation.unit)}};
    if (const auto &refusal = explanation.refusal)
        text["refusal"] = {{"error", Base::errorName(refusal->error)},
                           {"status", Base::errorAnswer(refusal->error).httpStatus},
                           {"cause", refusal->cause}};
    if (explanation.tenant != nullptr)
        text["tenant"] = explanation.tenant->name;
    if (explanation.route == nullptr)
        return text;
    const auto &placing = *explanation.placing;
    text["route"] = describeRoute(*explanation.route);
    text["rank"] = placing.rank;
    text["probe"] = placing.isProbe;
    text["mean_latency_ms"] = milliseconds(placing.meanLatency);
    if (explanation.route->gather) {
        text["gather"] = describeGather(placing);
        return text;
    }
    text["split"] = describeSplit(placing);
    text["split_known"] = placing.isSplitKnown;
    text["service"] = describeService(placing.legs.front());
    return text;
}

} // namespace Services
