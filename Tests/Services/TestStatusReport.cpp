#include "Services/Cli/StatusReport.h"

#include <gtest/gtest.h>

namespace {

nlohmann::json registry(bool leads)
{
    return {{"kind", "registry"},
            {"node", "vm-1"},
            {"healthy", true},
            {"leads", leads},
            {"role", leads ? "leader" : "follower"},
            {"term", 3},
            {"applied_index", 20},
            {"configuration_version", 7},
            {"evacuated_data_centres", {"dc-a", "dc-b"}}};
}

nlohmann::json gateway()
{
    return {{"kind", "gateway"},
            {"node", "vm-2"},
            {"healthy", true},
            {"configuration_version", 7},
            {"evacuated_data_centres", nlohmann::json::array()},
            {"evacuated_servers", 0},
            {"cold_servers", 4}};
}

} // namespace

// An operator sees what is evacuated, where an order has arrived, and how many servers are cold.
TEST(StatusReport, ShowsEvacuationsAndColdServers)
{
    Services::StatusReport report;
    report.add("10.0.0.1:9465", registry(true));
    report.add("10.0.0.2:9464", gateway());
    EXPECT_EQ(report.toText(),
              "registry vm-1 at 10.0.0.1:9465: leader, term 3, applied index 20, configuration 7, evacuated "
              "dc-a,dc-b\n"
              "gateway vm-2 at 10.0.0.2:9464: configuration 7, evacuated none, 0 servers evacuated, 4 cold\n"
              "healthy\n");
}

TEST(StatusReport, NamesMissingLeaderOfRegistries)
{
    Services::StatusReport report;
    report.add("10.0.0.1:9465", registry(false));
    EXPECT_FALSE(report.isHealthy());
    Services::StatusReport ofGateways;
    ofGateways.add("10.0.0.2:9464", gateway());
    EXPECT_TRUE(ofGateways.isHealthy());
}

// Damaged answers must end the command with a problem, not with an exception.
TEST(StatusReport, TakesAnswersWithoutFields)
{
    Services::StatusReport report;
    report.add("a", {{"kind", "gateway"}, {"evacuated_data_centres", {1, nullptr}}});
    report.add("b", {{"kind", "registry"}});
    report.add("c", nlohmann::json::object());
    EXPECT_FALSE(report.isHealthy());
    EXPECT_FALSE(report.toText().empty());
}
