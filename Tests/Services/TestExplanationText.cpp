// What operators read of an explanation, from the decisions to the text.

#include "LibForward/ForwardCore.h"
#include "Services/Cli/ExplanationText.h"
#include "Services/Gateway/RequestExplanation.h"

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using Base::milliseconds;
using Services::ExplainQuestion;
using Services::RequestExplanation;
using Kind = Allowance::Taking::Kind;

constexpr std::string_view Key = "sK9x2";

/// A gateway's decisions on logical time, about two services of three and one servers and a gather over both.
class ExplanationTextTest : public ::testing::Test
{
protected:
    ExplanationTextTest() { list(); }

    /// `warmUpLeftMs` is that of the first server.
    void list(std::uint32_t warmUpLeftMs = 0)
    {
        Wire::ServerList servers;
        servers.digest = 1;
        const auto add = [&](const std::string &id, const std::string &service, int port,
                             const std::string &dataCentre) {
            servers.servers.push_back({id, 0, service, fmt::format("10.0.0.1:{}", port), dataCentre, 2,
                                       Wire::ServerState::Ready, 0});
        };
        add("i-1", "ledger", 1001, "dc-a");
        add("i-2", "ledger", 1002, "dc-a");
        add("i-3", "ledger", 1003, "dc-b");
        add("i-4", "archive", 1004, "dc-a");
        servers.servers.front().warmUpLeftMs = warmUpLeftMs;
        core.setServers(now, servers);
    }

    static std::shared_ptr<const Route::RouteTable> makeTable()
    {
        Route::Configuration configuration;
        configuration.version = 7;
        configuration.services["ledger"] = {"ledger", 40};
        configuration.services["archive"] = {"archive", 40};
        Route::RouteRule route;
        route.name = "book";
        route.host = "ledger.example";
        route.prefix = "/book/";
        route.timeout = milliseconds(1000);
        route.latencyTarget = milliseconds(120);
        route.attempts = 2;
        route.rank = 2;
        route.targets = {{"ledger", 3.0}, {"archive", 1.0}};
        auto gather = route;
        gather.name = "search";
        gather.prefix = "/search/";
        gather.isPublic = true;
        gather.repeatability = Route::Repeatability::Idempotent;
        gather.targets.clear();
        gather.gather = Route::GatherRule {{"ledger", "archive"}, 3, 0.5};
        configuration.routes = {route, gather};
        Route::TenantRule tenant;
        tenant.name = "acme";
        tenant.rank = 1;
        tenant.requestsPerSecond = 10.0;
        configuration.tenants = {tenant};
        return std::make_shared<const Route::RouteTable>(std::move(configuration));
    }

    /// As a gateway's forwarder would; `unit` is what becomes of the wish for a unit.
    std::string explain(const std::string &path, bool hasTenant, std::optional<Kind> unit = {},
                        std::optional<Forward::Refusal> refusal = {}) const
    {
        RequestExplanation explanation;
        explanation.table = table;
        explanation.serverListAge = milliseconds(350);
        explanation.route = table->find("ledger.example", path);
        explanation.tenant = hasTenant ? table->configuration().tenantRules().data() : nullptr;
        explanation.unit = unit;
        explanation.refusal = refusal;
        if (explanation.route != nullptr)
            explanation.placing =
                core.explain(now, {table, explanation.route, std::nullopt, {}, explanation.tenant});
        if (explanation.placing && !explanation.refusal)
            explanation.refusal = explanation.placing->refusal;
        const ExplainQuestion question {"ledger.example", path, std::string(Key), 512};
        auto text = Services::describeExplanation(explanation, question);
        text["node"] = "vm-1";
        text["data_centre"] = "dc-a";
        EXPECT_EQ(text.dump().find(Key), std::string::npos);
        return Services::explanationText(nlohmann::json::parse(text.dump()));
    }

    void send(std::string_view path, int count)
    {
        const auto *route = table->find("ledger.example", path);
        for (int sent = 0; sent < count; ++sent)
            core.begin(now, {table, route, std::nullopt, {}, nullptr});
    }

    Base::Instant now {milliseconds(1'000'000)};
    std::shared_ptr<const Route::RouteTable> table = makeTable();
    Forward::ForwardCore core {{"dc-a", 1, 0.2, 1000.0}};
};

/// The scenes in the golden file, one after the other.
class Scenes
{
public:
    void add(std::string_view title, const std::string &text)
    {
        all_ += fmt::format("# {}\n{}\n", title, text);
    }
    const std::string &all() const { return all_; }

private:
    std::string all_;
};

} // namespace

// DAISYROUTE_WRITE_GOLDEN=1 to regenerate the file, and review the difference.
TEST_F(ExplanationTextTest, MatchesGoldenFile)
{
    Scenes scenes;
    scenes.add("all is free", explain("/book/1?page=2", true, Kind::Granted));
    scenes.add("a gather", explain("/search/1", false));
    scenes.add("no route", explain("/other", false, {},
                                   Forward::Refusal {Base::ErrorKind::NotFound, "no route matches"}));
    scenes.add("the leader decides", explain("/book/1", true, Kind::Waiting));
    scenes.add("over the allowance", explain("/book/1", true, Kind::OverLimit,
                                             Forward::Refusal {Base::ErrorKind::TenantOverLimit,
                                                               "the tenant's allowance is used up"}));
    // The first attempts stay open, so that servers get full.
    send("/search/1", 3);
    for (const auto &action : core.takeActions()) {
        const auto *sent = std::get_if<Forward::SendAttempt>(&action);
        if (sent == nullptr || sent->backend->record.id == "i-4")
            continue;
        Forward::AttemptReply reply;
        reply.response.status = 503;
        reply.notExecuted = true;
        reply.load = Adapter::ServerLoad {2, 4, 2, 1.5};
        if (sent->backend->record.id == "i-1")
            reply.pause = milliseconds(400);
        now += milliseconds(5);
        core.replyArrived(now, sent->attempt, reply);
    }
    scenes.add("after pauses and reported queues", explain("/book/1", true, Kind::Granted));
    scenes.add("a gather whose shards are full", explain("/search/1", false));
    core.setEvacuated(now, {"dc-a", "dc-b"});
    scenes.add("all evacuated", explain("/book/1", true, Kind::Granted));
    core = Forward::ForwardCore({"dc-a", 1, 0.2, 1000.0});
    list(5000);
    send("/search/1", 2);
    for (const auto &action : core.takeActions()) {
        const auto *sent = std::get_if<Forward::SendAttempt>(&action);
        if (sent == nullptr || sent->backend->record.id != "i-2")
            continue;
        Forward::AttemptReply reply;
        reply.response.status = 200;
        reply.proof = "p";
        reply.announcesLeaving = true;
        core.replyArrived(now, sent->attempt, reply);
    }
    scenes.add("cold and leaving servers", explain("/book/1", true, Kind::Granted));
    const auto path = std::string(DAISYROUTE_SOURCE_DIR) + "/Tests/Services/Golden/explain.txt";
    if (std::getenv("DAISYROUTE_WRITE_GOLDEN") != nullptr)
        std::ofstream(path) << scenes.all();
    std::ostringstream golden;
    golden << std::ifstream(path).rdbuf();
    EXPECT_EQ(scenes.all(), golden.str());
}

// A gateway of another release may answer with other fields; the command must not end with an exception.
TEST(ExplanationText, TakesAnswersWithoutFields)
{
    using nlohmann::json;
    EXPECT_FALSE(Services::explanationText(json::object()).empty());
    EXPECT_FALSE(Services::explanationText(json::array()).empty());
    const json odd {{"verdict", "admitted"},
                    {"route", json::object()},
                    {"split", {1, nullptr}},
                    {"service", {{"servers", {1, json::object()}}, {"obstacles", 3}}},
                    {"gather", {{"legs", {nullptr}}}}};
    EXPECT_FALSE(Services::explanationText(odd).empty());
}
