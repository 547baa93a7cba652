// `daisyroute explain` with a gateway and a registry as real processes on loopback.

#include "HostileCallers/Crowd.h"
#include "HostileCallers/Site.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using HostileCallers::eventually;
using HostileCallers::Site;
using HostileCallers::statusOf;

constexpr std::string_view CallerKey = "sK9x2-of-this-test";

constexpr std::string_view Tenants = R"({"version": 2,
"routes": [{"name": "safe", "host": "site.example", "pathPrefix": "/s/", "routeType": "safe",
            "timeoutMs": 5000, "targetLatencyMs": 1000, "attempts": 2, "service": "plain"}],
"services": [{"name": "plain", "maxConnections": 64}],
"tenants": [{"name": "acme", "apiKeys": ["sK9x2-of-this-test"], "priority": 1}]})";

std::string readAll(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// What one call of the program printed, on both streams, and its exit code.
struct Call
{
    int exitCode = 0;
    std::string output;
};

class ExplainCommand : public ::testing::Test
{
protected:
    Call call(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(), {"daisyroute", "explain"});
        const auto path = site.directory() + "/output";
        std::filesystem::remove(path);
        Sessions::Process process(arguments, path);
        const auto exitCode = process.wait();
        return {exitCode, readAll(path)};
    }

    /// Asks the gateway with these further arguments.
    Call ask(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(), {"--gateway=" + site.address(Site::MetricsPort),
                                             "--key-file=" + keyFile, "--host=site.example"});
        return call(std::move(arguments));
    }

    std::string write(const std::string &name, std::string_view text) const
    {
        auto path = site.directory() + "/" + name;
        std::ofstream(path) << text << '\n';
        return path;
    }

    Site site;
    std::string keyFile = write("cluster-key", "hostile"); ///< As in the site's settings.
};

} // namespace

TEST_F(ExplainCommand, AsksARunningGateway)
{
    ASSERT_TRUE(site.startGateway());
    const auto text = ask({"--path=/s/x"});
    EXPECT_EQ(text.exitCode, 0) << text.output;
    EXPECT_TRUE(text.output.starts_with("gateway vm-1 in dc-a: configuration 1, ")) << text.output;
    EXPECT_NE(text.output.find("\nadmitted now: yes, sent to i-1\n"), std::string::npos) << text.output;
    EXPECT_NE(text.output.find("\nroute safe: site.example/s/, "), std::string::npos) << text.output;

    ASSERT_EQ(
        statusOf(site.address(Site::OperatorPort),
                 fmt::format("PUT /v1/config HTTP/1.1\r\nHost: registry\r\nContent-Length: {}\r\n\r\n{}",
                             Tenants.size(), Tenants)),
        200);
    const auto callerKey = write("caller-key", CallerKey);
    nlohmann::json explanation;
    ASSERT_TRUE(eventually([&] {
        const auto json =
            ask({"--path=/s/x?q=1", "--size=20", "--format=json", "--caller-key-file=" + callerKey});
        explanation = nlohmann::json::parse(json.output, nullptr, false);
        return json.exitCode == 0 && explanation.is_object() && explanation["configuration_version"] == 2
               && explanation["verdict"] == "admitted";
    })) << explanation.dump();
    EXPECT_EQ(explanation["tenant"], "acme");
    EXPECT_EQ(explanation["request"]["size"], 20);
    EXPECT_EQ(explanation["service"]["servers"][0]["id"], "i-1");

    const auto none = ask({"--path=/s/x"});
    EXPECT_EQ(none.exitCode, 0);
    EXPECT_NE(none.output.find("admitted now: no, 401 unauthorized: request has no key"), std::string::npos)
        << none.output;
    const auto elsewhere = ask({"--path=/other"});
    EXPECT_EQ(elsewhere.exitCode, 0);
    EXPECT_NE(elsewhere.output.find("admitted now: no, 404 not_found: no route matches"), std::string::npos)
        << elsewhere.output;

    const auto wrongKey = write("wrong-key", "another");
    const auto refused = call({"--gateway=" + site.address(Site::MetricsPort), "--key-file=" + wrongKey,
                               "--host=site.example", "--path=/s/x"});
    EXPECT_EQ(refused.exitCode, 1);
    EXPECT_TRUE(refused.output.starts_with("unauthorized: ")) << refused.output;
    const auto notAGateway = call({"--gateway=" + site.address(Site::RegistryMetricsPort),
                                   "--key-file=" + keyFile, "--host=site.example", "--path=/s/x"});
    EXPECT_EQ(notAGateway.exitCode, 1) << notAGateway.output;
    EXPECT_TRUE(eventually([&] {
        return readAll(site.directory() + "/gateway.log").find("event=request_explained")
               != std::string::npos;
    }));
    EXPECT_EQ(readAll(site.directory() + "/gateway.log").find(CallerKey), std::string::npos);
}

// Every mistake is named at once, and nothing is sent.
TEST_F(ExplainCommand, NamesEachBadArgument)
{
    const auto missing = call({});
    EXPECT_EQ(missing.exitCode, 2);
    for (const auto *name : {"--gateway or DAISYROUTE_GATEWAY: ", "--key-file or DAISYROUTE_KEY_FILE: ",
                             "--host or DAISYROUTE_HOST: ", "--path or DAISYROUTE_PATH: "})
        EXPECT_NE(missing.output.find(name), std::string::npos) << missing.output;
    const auto wrong = call({"--gateway=nowhere", "--key-file=x", "--host=a/b", "--path=x", "--size=-1",
                             "--format=xml", "--timeout-ms=0"});
    EXPECT_EQ(wrong.exitCode, 2);
    for (const auto *name : {"--gateway: \"nowhere\"", "--host: \"a/b\"", "--path: \"x\"", "--size: \"-1\"",
                             "--format: \"xml\"", "--timeout-ms: \"0\""})
        EXPECT_NE(wrong.output.find(name), std::string::npos) << wrong.output;
    const auto files = ask({"--path=/s/x", "--caller-key-file=" + site.directory() + "/none"});
    EXPECT_EQ(files.exitCode, 2);
    EXPECT_TRUE(files.output.starts_with("--caller-key-file: ")) << files.output;
    const auto control = ask({"--path=/s/x", "--caller-key-file=" + write("bad-key", "a\x01secret")});
    EXPECT_EQ(control.exitCode, 2);
    EXPECT_EQ(control.output.find("secret"), std::string::npos);
    const auto onTheLine = ask({"--path=/s/x", "--caller-key=sK9x2"});
    EXPECT_EQ(onTheLine.exitCode, 2);
    const auto both = ask({"--path=/s/x", "request", "file"});
    EXPECT_EQ(both.exitCode, 2);
    EXPECT_TRUE(both.output.starts_with("--gateway: ")) << both.output;
    const auto half = call({"request"});
    EXPECT_EQ(half.exitCode, 2);
}

TEST_F(ExplainCommand, SaysThatNobodyAnswers)
{
    const auto silent = ask({"--path=/s/x", "--timeout-ms=500"});
    EXPECT_EQ(silent.exitCode, 1);
    EXPECT_TRUE(silent.output.starts_with("backend_unreachable: ")) << silent.output;
}

// The form for logs goes on working.
TEST_F(ExplainCommand, ReadsLogs)
{
    const auto log = write("log", "time=1 part=gateway event=request_answered request=ab outcome=served");
    const auto found = call({"ab", log});
    EXPECT_EQ(found.exitCode, 0);
    EXPECT_NE(found.output.find("request=ab outcome=served"), std::string::npos) << found.output;
    EXPECT_EQ(call({"cd", log}).exitCode, 1);
}
