#include "Services/Cli/ExplanationText.h"

#include "Services/Cli/JsonFields.h"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace Services {

namespace {

using nlohmann::json;

bool isOn(const json &object, const char *key)
{
    const auto value = fieldOf(object, key);
    return value.is_boolean() && value.get<bool>();
}

double numberOf(const json &object, const char *key)
{
    const auto value = fieldOf(object, key);
    return value.is_number() ? value.get<double>() : 0.0;
}

std::string routeLine(const json &explanation)
{
    const auto route = fieldOf(explanation, "route");
    if (!route.is_object())
        return "route: none\n";
    return fmt::format("route {}: {}{}, {}, {}, servers per service {}, target {} ms, timeout {} ms\n",
                       textOf(route, "name"), textOf(route, "host"), textOf(route, "prefix"),
                       isOn(route, "public") ? "public" : "not public",
                       isOn(route, "repeatable") ? "may be repeated" : "at most once",
                       textOf(route, "attempts"), textOf(route, "target_ms"), textOf(route, "timeout_ms"));
}

std::string tenantLine(const json &explanation)
{
    const auto tenant = fieldOf(explanation, "tenant");
    return fmt::format("tenant: {}, rank {}, allowance {}\n",
                       tenant.is_string() ? tenant.get<std::string>() : "none", textOf(explanation, "rank"),
                       textOf(explanation, "allowance"));
}

/// The servers that the choice may fall on.
std::string candidatesOf(const json &service)
{
    std::vector<std::string> names;
    for (const auto &server : listOf(service, "servers")) {
        if (isOn(server, "may_be_chosen"))
            names.push_back(textOf(server, "id"));
    }
    return names.empty() ? textOf(service, "server") : fmt::format("{}", fmt::join(names, " or "));
}

std::string verdictLine(const json &explanation)
{
    const auto verdict = textOf(explanation, "verdict");
    const auto refusal = fieldOf(explanation, "refusal");
    const auto gather = fieldOf(explanation, "gather");
    const auto service = fieldOf(explanation, "service");
    std::string text = "admitted now: ";
    if (verdict == "refused")
        text += fmt::format("no, {} {}: {}", textOf(refusal, "status"), textOf(refusal, "error"),
                            textOf(refusal, "cause"));
    else if (verdict == "asks_leader")
        text += "if the leader of the registries has a unit of the tenant's allowance";
    else if (verdict == "waits" && gather.is_object())
        text += "yes, and waits for room at too many shards";
    else if (verdict == "waits")
        text += fmt::format("yes, and waits for room, about {} ms behind others",
                            textOf(service, "expected_wait_ms"));
    else if (gather.is_object())
        text += fmt::format("yes, sent to {} of {} shards", textOf(gather, "sent"), textOf(gather, "shards"));
    else
        text += fmt::format("yes, sent to {}", candidatesOf(service));
    if (isOn(explanation, "probe"))
        text += ", to find out whether silent servers answer again";
    return text + '\n';
}

std::string splitLine(const json &explanation)
{
    const auto split = listOf(explanation, "split");
    if (split.size() < 2)
        return {};
    std::vector<std::string> targets;
    for (const auto &target : split)
        targets.push_back(fmt::format("{} weight {}{}", textOf(target, "service"), textOf(target, "weight"),
                                      isOn(target, "next") ? " (next)" : ""));
    return fmt::format("split: {}{}\n", fmt::join(targets, ", "),
                       isOn(explanation, "split_known") ? "" : "; the first request's target is drawn");
}

std::string obstaclesOf(const json &service)
{
    std::string text;
    const auto obstacles = fieldOf(service, "obstacles");
    if (!obstacles.is_object())
        return text;
    for (const auto &[name, count] : obstacles.items())
        text += fmt::format(", {} {}", count.dump(), name);
    return text;
}

std::string roomText(const json &service)
{
    return fmt::format(
        "{} of {} servers accept work, room for {} attempts{}; {} requests wait, a new one would "
        "wait {} ms behind others",
        textOf(service, "servers_accepting"), textOf(service, "servers_listed"),
        textOf(service, "free_attempts"), obstaclesOf(service), textOf(service, "waiting"),
        textOf(service, "expected_wait_ms"));
}

/// What is true of a server and said only then.
std::string remarksOf(const json &server)
{
    struct Remark
    {
        const char *key;
        std::string_view text;
    };
    constexpr std::array<Remark, 8> Remarks {{{"limit_learned", "limit learned"},
                                              {"long_queue", "reports a long queue"},
                                              {"stalled", "stalled"},
                                              {"cold", "cold"},
                                              {"last_resort", "leaving, a last resort"},
                                              {"evacuated", "in an evacuated data centre"},
                                              {"resuming", "back from a pause"},
                                              {"may_be_chosen", "may be chosen"}}};
    std::string text;
    for (const auto &remark : Remarks) {
        if (isOn(server, remark.key) && textOf(server, "obstacle") != remark.key)
            text += fmt::format(", {}", remark.text);
    }
    constexpr std::array<Remark, 2> Times {{{"paused_ms", "paused for"}, {"avoided_ms", "avoided for"}}};
    for (const auto &time : Times) {
        if (numberOf(server, time.key) > 0.0)
            text += fmt::format(", {} {} ms", time.text, textOf(server, time.key));
    }
    if (const auto left = numberOf(server, "leaves_in_ms"); left > 0.0)
        text += fmt::format(", used for {} ms more", textOf(server, "leaves_in_ms"));
    if (fieldOf(server, "cold_per_second").is_number())
        text += fmt::format(", takes {} requests/s while cold", textOf(server, "cold_per_second"));
    return text;
}

std::string serverLine(std::size_t position, const json &server)
{
    const auto obstacle = textOf(server, "obstacle");
    const auto load = fieldOf(server, "load");
    const auto queue =
        load.is_object() ? fmt::format("reports {} running, {} waiting, slowdown {}", textOf(load, "running"),
                                       textOf(load, "waiting"), textOf(load, "slowdown"))
                         : std::string("no recent report");
    return fmt::format(
        "  {}. {} at {} in {}: {}; cost {} ms (latency {}, distance {}, penalties {}); slowness {}, "
        "errors {}; open {} of {}, slots {}, {}{}\n",
        position, textOf(server, "id"), textOf(server, "address"), textOf(server, "data_centre"),
        obstacle == "none" ? "free" : obstacle, textOf(server, "cost_ms"), textOf(server, "latency_ms"),
        textOf(server, "distance_ms"), textOf(server, "penalty_ms"), textOf(server, "slowness"),
        textOf(server, "error_rate"), textOf(server, "open"), textOf(server, "limit"),
        textOf(server, "slots"), queue, remarksOf(server));
}

std::string serviceText(const json &service)
{
    if (!service.is_object())
        return {};
    const auto share = fieldOf(service, "tenant_above_share");
    auto text = fmt::format(
        "service {}: {}, about {} attempts/s of this gateway, at most {} connections to one server{}\n",
        textOf(service, "service"), roomText(service), textOf(service, "attempts_per_second"),
        textOf(service, "connection_share"),
        !share.is_boolean() ? ""
        : share.get<bool>() ? ", tenant above its share"
                            : ", tenant within its share");
    std::size_t position = 0;
    for (const auto &server : listOf(service, "servers"))
        text += serverLine(++position, server);
    return text;
}

std::string gatherText(const json &gather)
{
    if (!gather.is_object())
        return {};
    auto text = fmt::format("gather: {} shards, {} needed; {} sent, {} wait, {} missing\n",
                            textOf(gather, "shards"), textOf(gather, "needed"), textOf(gather, "sent"),
                            textOf(gather, "waiting"), textOf(gather, "missing"));
    for (const auto &leg : listOf(gather, "legs")) {
        const auto fate = textOf(leg, "fate");
        text += fmt::format("  {}: {}; {}\n", textOf(leg, "service"),
                            fate == "sent" ? "sent to " + textOf(leg, "server") : fate, roomText(leg));
    }
    return text;
}

} // namespace

std::string explanationText(const json &explanation)
{
    const auto request = fieldOf(explanation, "request");
    auto text =
        fmt::format("gateway {} in {}: configuration {}, server list {} ms old\n",
                    textOf(explanation, "node"), textOf(explanation, "data_centre"),
                    textOf(explanation, "configuration_version"), textOf(explanation, "server_list_age_ms"));
    text += fmt::format("request: host {}, path {}, body of {} bytes, {}\n", textOf(request, "host"),
                        textOf(request, "path"), textOf(request, "size"),
                        isOn(request, "has_key") ? "with a key" : "without a key");
    text += verdictLine(explanation) + routeLine(explanation);
    if (!fieldOf(explanation, "route").is_object())
        return text;
    return text + tenantLine(explanation)
           + fmt::format("mean latency of the route: {} ms\n", textOf(explanation, "mean_latency_ms"))
           + splitLine(explanation) + serviceText(fieldOf(explanation, "service"))
           + gatherText(fieldOf(explanation, "gather"));
}

} // namespace Services
