#include "LibHttp/Client.h"
#include "Services/Entry/EntryProcess.h"
#include "Services/FakeBackend.h"
#include "Services/FakeControl.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace Services {

namespace {

using nlohmann::json;

constexpr auto Secret = "secret of the tests";
constexpr auto LongTimeout = Base::seconds(120);

/// Two entry processes that own one replica each of two shards.
class EntryProcessTest : public testing::Test
{
protected:
    void SetUp() override
    {
        for (const auto *entryId : {"entry-1", "entry-2"}) {
            EntrySettings settings;
            settings.entryId = entryId;
            settings.dataCentre = "dc";
            settings.environment = "test";
            settings.httpAddress = "127.0.0.1:0";
            settings.peerAddress = "127.0.0.1:0";
            settings.controlAddresses = {control.address()};
            settings.sharedSecret = Secret;
            settings.callerThreads = 8;
            auto entry = EntryProcess::start(settings);
            ASSERT_TRUE(entry) << entry.error().detail;
            entries.push_back(std::move(*entry));
        }
        control.accept(document(), {{"server-a", "entry-1"}, {"server-b", "entry-2"}});
        for (const auto *entryId : {"entry-1", "entry-2"})
            control.waitForRenewal(entryId,
                                   [](const auto &renewal) { return renewal.acceptedRevision == 1; });
    }

    void TearDown() override
    {
        for (const auto &entry : entries)
            entry->beginShutdown();
        entries.clear();
    }

    std::string document(const std::string &extra = {}) const
    {
        return fmt::format(R"({}environment = "test"
address_max_age = "100 ms"
[[class]]
name = "counter"
policy = "coverage"
deadline = "10 s"
[[tenant]]
name = "shops"
[[index]]
name = "stock"
slots_per_server = 2
connections_per_server = 8
connect_time = "1 ms"
shards = [{{ name = "s1", servers = ["server-a"] }}, {{ name = "s2", servers = ["server-b"] }}]
servers = [{{ id = "server-a", address = "{}", data_centre = "dc" }},
           {{ id = "server-b", address = "{}", data_centre = "dc" }}]
)",
                           extra, backendA.address(), backendB.address());
    }

    static json makeQuery(const std::string &requestId)
    {
        return {{"request_id", requestId},
                {"index", "stock"},
                {"class", "counter"},
                {"tenant", "shops"},
                {"body", "find"}};
    }

    static Http::Response post(const EntryProcess &entry, const json &query)
    {
        const auto client = Http::Client::connect(entry.httpAddress(), LongTimeout);
        Http::Request request;
        request.method = "POST";
        request.path = "/v1/query";
        request.body = query.dump();
        return *(*client)->exchange(request, LongTimeout);
    }

    static Http::Response get(const EntryProcess &entry, const std::string &path)
    {
        const auto client = Http::Client::connect(entry.httpAddress(), LongTimeout);
        Http::Request request;
        request.path = path;
        return *(*client)->exchange(request, LongTimeout);
    }

    /// Repeats a query until its answer covers all shards, because observations arrive after the start.
    static json queryUntilComplete(const EntryProcess &entry)
    {
        for (int attempt = 0;; ++attempt) {
            const auto response = post(entry, makeQuery("warm-up-" + std::to_string(attempt)));
            auto body = json::parse(response.body);
            if (response.status == 200 && body.at("complete") == true)
                return body;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    FakeControl control {Secret};
    FakeBackend backendA {"server-a"};
    FakeBackend backendB {"server-b"};
    std::vector<std::unique_ptr<EntryProcess>> entries;
};

} // namespace

// Guards against a query path that loses shards on the way through the other owner.
TEST_F(EntryProcessTest, AnswersFromOwnAndOtherOwner)
{
    for (const auto &entry : entries) {
        const auto answer = queryUntilComplete(*entry);
        EXPECT_EQ(answer.at("index_version"), 7);
        EXPECT_EQ(answer.at("revision"), 1);
        EXPECT_EQ(answer.at("results").at("s1"), "/shards/s1/query find");
        EXPECT_EQ(answer.at("results").at("s2"), "/shards/s2/query find");
    }
    const auto metrics = get(*entries[0], "/metrics").body;
    EXPECT_NE(metrics.find("daisyroute_query_seconds_count{class=\"counter\",tenant=\"shops\"}"),
              std::string::npos);
    EXPECT_NE(metrics.find("daisyroute_backend_connect_seconds_count{server=\"server-a\"}"),
              std::string::npos);
    EXPECT_EQ(json::parse(get(*entries[0], "/v1/status").body).at("state"), "serving");
}

// Guards against unclear answers to malformed queries.
TEST_F(EntryProcessTest, RefusesMalformedQueries)
{
    auto query = makeQuery("r1");
    query["unknown_field"] = 1;
    const auto response = post(*entries[0], query);
    EXPECT_EQ(response.status, 400);
    EXPECT_NE(response.body.find("'unknown_field' is not known"), std::string::npos) << response.body;
    query = makeQuery("r1");
    query["shard"] = "s1";
    EXPECT_NE(post(*entries[0], query).body.find("'shard' is accepted only"), std::string::npos);
    query = makeQuery("r1");
    query["body"] = json::array();
    EXPECT_NE(post(*entries[0], query).body.find("'body' is not a string"), std::string::npos);
}

// Guards against a proposal that takes effect before acceptance, and against one that is never staged.
TEST_F(EntryProcessTest, StagesProposalsAndRejectsInvalidOnes)
{
    control.propose(document("# changed\n"));
    for (const auto *entryId : {"entry-1", "entry-2"})
        control.waitForRenewal(entryId, [](const auto &renewal) { return renewal.stagedRevision == 2; });
    EXPECT_EQ(json::parse(get(*entries[0], "/v1/status").body).at("revision"), 1);
    control.propose("environment = \"test\"\n");
    control.waitForRenewal("entry-1", [](const auto &renewal) { return renewal.rejectedRevision == 3; });
    control.accept(document("# again\n"), {});
    control.waitForRenewal("entry-1", [](const auto &renewal) { return renewal.acceptedRevision == 4; });
}

// Guards against a non-idempotent request that runs again when it is resent through another entry process.
TEST_F(EntryProcessTest, RunsNonIdempotentRequestOnce)
{
    queryUntilComplete(*entries[0]);
    queryUntilComplete(*entries[1]);
    const auto before = backendB.queries();
    auto query = makeQuery("booking-1");
    query["idempotent"] = false;
    query["shard"] = "s2";
    query["created_at_ms"] = Base::SystemClock().wallNow();
    const auto first = post(*entries[0], query);
    EXPECT_EQ(first.status, 200) << first.body;
    const auto second = post(*entries[1], query);
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(backendB.queries(), before + 1);
}

// Guards against serving on an expired lease, and against an unclear run state of the refusal.
TEST_F(EntryProcessTest, RefusesQueriesWithoutLease)
{
    queryUntilComplete(*entries[0]);
    control.refuseRenewals();
    while (json::parse(get(*entries[0], "/v1/status").body).at("lease_valid") == true)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    const auto response = post(*entries[0], makeQuery("late"));
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(json::parse(response.body).at("error"), "lease_expired");
    EXPECT_EQ(json::parse(response.body).at("run"), "no");
}

// Guards against a stop that keeps shares, or stays on the list of addresses.
TEST_F(EntryProcessTest, LeavesGracefully)
{
    queryUntilComplete(*entries[1]);
    entries[0]->beginShutdown();
    control.waitForRenewal(
        "entry-1", [](const auto &renewal) { return renewal.entry.state == Wire::EntryState::Leaving; });
    // Callers that have cached the address are still served.
    EXPECT_EQ(post(*entries[0], makeQuery("cached")).status, 200);
    entries[0]->waitUntilStopped();
    for (const auto &share : control.directory().shares)
        EXPECT_NE(share.entryId, "entry-1");
    control.waitForRenewal("entry-1", [](const auto &renewal) { return renewal.finished; });
}

} // namespace Services
