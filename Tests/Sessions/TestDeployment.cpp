#include "Sessions/Deployment.h"

#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace {

using nlohmann::json;

json sampleQuery(const std::string &requestId)
{
    return {{"request_id", requestId},
            {"index", "stock"},
            {"class", "desk"},
            {"tenant", "shops"},
            {"body", "find"}};
}

/// Every covered shard must have a completed execution at the server that the result names, and no shard
/// may be called not run when a server ran it.
void expectTrueCoverage(const Sessions::Deployment &deployment, const json &answer)
{
    const auto id = answer["request_id"].get<std::string>();
    const auto executions = deployment.readAdmin("/log?request_id=" + id);
    std::set<std::pair<std::string, std::string>> done;
    std::set<std::string> ran;
    for (const auto &execution : executions) {
        if (execution["outcome"] == "done")
            done.emplace(execution["shard"], execution["server"]);
        if (execution["ran"] == true)
            ran.insert(execution["shard"].get<std::string>());
    }
    for (const auto &shard : answer["covered"]) {
        const auto result = json::parse(answer["results"][shard.get<std::string>()].get<std::string>());
        EXPECT_EQ(done.count({shard, result["server"]}), 1U) << id << " " << executions.dump();
    }
    for (const auto &missing : answer["lacking"])
        EXPECT_FALSE(missing["run"] == "no" && ran.count(missing["shard"].get<std::string>()) > 0)
            << answer.dump();
}

void expectReport(const Sessions::Deployment &deployment, const std::string &runId, int queries)
{
    const auto report = json::parse(Sessions::readText(deployment.reportPath(runId)), nullptr, false);
    ASSERT_TRUE(report.is_object()) << Sessions::readText(deployment.path(runId + ".log"));
    EXPECT_EQ(report["wrong"], 0) << report["faults"].dump();
    EXPECT_EQ(report["queries"], queries);
    EXPECT_EQ(report["refused"], 0) << report["reasons"].dump();
}

void expectLimitsKept(const Sessions::Deployment &deployment)
{
    const auto summary = deployment.readAdmin("/summary");
    EXPECT_EQ(summary["over_slots"], json::array());
    EXPECT_EQ(summary["over_connections"], json::array());
    EXPECT_EQ(summary["repeated_non_idempotent"], json::array());
}

} // namespace

// Guards the content of answers over real processes: coverage that the backend servers did not serve, a
// change that is lost or applied twice, and requests that run twice when an entry process dies.
TEST(Deployment, AnswersAreTrueThroughFaultsAndChanges)
{
    Sessions::Deployment deployment;
    deployment.start();
    const auto first = deployment.path("first.toml");
    ASSERT_NO_FATAL_FAILURE(deployment.promote(first, 0, "change-1"));
    ASSERT_TRUE(deployment.waitForEntries(3));

    auto calm = deployment.startLoad("calm", 100, 50);
    EXPECT_EQ(calm.wait(), 0);
    expectReport(deployment, "calm", 100);
    expectLimitsKept(deployment);

    json answer;
    for (int number = 0; number < 3; ++number) {
        ASSERT_EQ(deployment.query(number, sampleQuery(fmt::format("whole-{}", number)), answer), 200)
            << answer.dump();
        EXPECT_EQ(answer["covered"], json({"0", "1", "2"})) << answer.dump();
        expectTrueCoverage(deployment, answer);
    }

    // A shard without any server must be stated as missing, and the others still be covered.
    for (const auto *server : {"s1a", "s1b"})
        deployment.changeAdmin("/behaviour", {{"server", server}, {"set", {{"up", false}}}});
    ASSERT_EQ(deployment.query(0, sampleQuery("missing"), answer), 200) << answer.dump();
    EXPECT_EQ(answer["covered"], json({"0", "2"})) << answer.dump();
    EXPECT_EQ(answer["complete"], false);
    expectTrueCoverage(deployment, answer);
    deployment.changeAdmin("/behaviour", {{"set", {{"up", true}}}});
    EXPECT_TRUE(deployment.waitForEntries(3));

    // Killed, not stopped: queries in flight at this entry are lost, and none may run twice or be answered
    // falsely.
    auto rough = deployment.startLoad("rough", 300, 50);
    ASSERT_TRUE(Sessions::waitUntil([&] {
        const auto summary = deployment.readAdmin("/summary");
        return summary["totals"]["completed"].get<double>() > 400;
    }));
    deployment.entry(2).signal(SIGKILL);
    EXPECT_EQ(deployment.entry(2).wait(), -SIGKILL);
    const auto second = deployment.writeDocument("second.toml", "s0a");
    ASSERT_NO_FATAL_FAILURE(deployment.promote(second, 1, "change-2"));
    EXPECT_EQ(rough.wait(), 0);
    expectReport(deployment, "rough", 300);
    const auto summary = deployment.readAdmin("/summary");
    EXPECT_EQ(summary["repeated_non_idempotent"], json::array());
    EXPECT_EQ(summary["over_connections"], json::array());

    // A resent change must return its first result; another change on the old base must lose.
    ASSERT_NO_FATAL_FAILURE(deployment.promote(second, 1, "change-2"));
    std::string output;
    ASSERT_EQ(deployment.runCommand({"submit", first}, output), 0) << output;
    const auto hash = output.substr(0, output.find('\n'));
    EXPECT_EQ(deployment.runCommand({"promote", hash, "--change-id=change-3", "--base-revision=1"}, output),
              1);
    EXPECT_NE(output.find("revision_conflict"), std::string::npos) << output;
    EXPECT_NE(output.find("change-2"), std::string::npos) << output;

    // The server that leaves by the second document must get no new work.
    deployment.changeAdmin("/reset", json::object());
    for (int number = 0; number < 20; ++number) {
        ASSERT_EQ(deployment.query(number % 2, sampleQuery(fmt::format("left-{}", number)), answer), 200);
        EXPECT_EQ(answer["complete"], true) << answer.dump();
        EXPECT_EQ(answer["revision"], 2) << answer.dump();
    }
    EXPECT_EQ(deployment.readAdmin("/servers")["s0a"]["counters"]["requests"], 0);

    EXPECT_EQ(deployment.stop({"entry-2"}), std::vector<std::string> {});
}
