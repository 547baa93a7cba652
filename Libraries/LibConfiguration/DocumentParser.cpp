#include "LibConfiguration/DocumentParser.h"

#include "LibBase/Bytes.h"
#include "LibBase/Digest.h"
#include "LibConfiguration/DurationText.h"
#include "LibConfiguration/IndexReader.h"
#include "LibConfiguration/TableReader.h"
#include "LibConfiguration/UniqueNames.h"

#include <algorithm>
#include <fmt/format.h>

namespace Configuration {

namespace {

using Base::Duration;

/// The HTTP interface of control takes no larger body.
constexpr std::size_t LargestDocumentBytes = 1U << 20U;

constexpr std::uint32_t MostQueriesInFlight = 100'000;
constexpr std::uint32_t MostWeight = 1000;

/// Above this fraction, hedging would itself overload the backend servers.
constexpr double LargestExtraLoadBudget = 0.2;

constexpr std::string_view AcceptedPolicy = "\"coverage\" or \"latency\"";

CompletionPolicy readPolicy(TableReader &table)
{
    const auto policy = table.text("policy", AcceptedPolicy).text;
    if (!policy.empty() && policy != "coverage" && policy != "latency")
        table.reportKey("policy", AcceptedPolicy);
    return policy == "latency" ? CompletionPolicy::Latency : CompletionPolicy::Coverage;
}

void readTimes(TableReader &table, TrafficClass &trafficClass)
{
    trafficClass.deadline = table.duration("deadline", {Base::milliseconds(1), std::chrono::minutes(10)});
    if (trafficClass.policy == CompletionPolicy::Latency)
        trafficClass.latencyTarget =
            table.duration("latency_target", {Base::milliseconds(1), trafficClass.deadline});
}

TrafficClass readClass(TableReader &table, UniqueNames &names)
{
    TrafficClass trafficClass;
    const auto name = table.name("name");
    names.add(name, table);
    trafficClass.name = name.text;
    trafficClass.policy = readPolicy(table);
    readTimes(table, trafficClass);
    trafficClass.extraLoadBudget =
        table.number("extra_load_budget", {0.0, LargestExtraLoadBudget, TrafficClass().extraLoadBudget});
    trafficClass.hedgeQuantile = table.number("hedge_quantile", {0.5, 0.999, TrafficClass().hedgeQuantile});
    trafficClass.maxQueriesInFlight =
        table.integer("max_queries_in_flight", {1, MostQueriesInFlight, TrafficClass().maxQueriesInFlight});
    table.refuseUnknownKeys();
    return trafficClass;
}

Tenant readTenant(TableReader &table, UniqueNames &names)
{
    const auto name = table.name("name");
    names.add(name, table);
    Tenant tenant {name.text, table.integer("weight", {1, MostWeight, Tenant().weight})};
    table.refuseUnknownKeys();
    return tenant;
}

Document readDocument(TableReader &root)
{
    Document document;
    document.environment = root.name("environment").text;
    document.addressMaxAge = root.duration(
        "address_max_age", {Base::milliseconds(100), std::chrono::minutes(1), Document().addressMaxAge});
    UniqueNames classNames;
    for (auto &table : root.tables("class"))
        document.classes.push_back(readClass(table, classNames));
    UniqueNames tenantNames;
    for (auto &table : root.tables("tenant"))
        document.tenants.push_back(readTenant(table, tenantNames));
    IndexReader indexReader;
    for (auto &table : root.tables("index"))
        document.indexes.push_back(indexReader.read(table));
    root.refuseUnknownKeys();
    return document;
}

ParseOutcome onlyMistake(std::uint32_t line, std::string value, std::string accepted)
{
    return {std::nullopt, {{line, "document", std::move(value), std::move(accepted)}}};
}

ParseOutcome readTable(const toml::table &table)
{
    ParseOutcome outcome;
    TableReader root(table, {}, outcome.mistakes);
    auto document = readDocument(root);
    std::stable_sort(outcome.mistakes.begin(), outcome.mistakes.end(),
                     [](const Mistake &left, const Mistake &right) { return left.line < right.line; });
    if (outcome.mistakes.empty())
        outcome.document = std::move(document);
    return outcome;
}

} // namespace

ParseOutcome parseDocument(std::string_view text)
{
    if (text.size() > LargestDocumentBytes)
        return onlyMistake(0, fmt::format("{} bytes", text.size()),
                           fmt::format("a document of at most {} bytes", LargestDocumentBytes));
    try {
        return readTable(toml::parse(text));
    } catch (const toml::parse_error &error) {
        // The TOML parser cannot continue after a syntax error, so this is the only mistake reported.
        return onlyMistake(error.source().begin.line, std::string(error.description()), "valid TOML");
    }
}

std::string describe(const Mistake &mistake)
{
    const auto place =
        mistake.line == 0 ? mistake.path : fmt::format("line {}: {}", mistake.line, mistake.path);
    if (mistake.value.empty())
        return fmt::format("{}: a value is missing; accepted: {}", place, mistake.accepted);
    return fmt::format("{}: {} is not accepted; accepted: {}", place, mistake.value, mistake.accepted);
}

std::string documentHash(std::string_view text)
{
    return Base::sha256Hex(Base::asBytes(text));
}

} // namespace Configuration
