#include "LibConfiguration/DocumentParser.h"
#include "LibConfiguration/DurationText.h"

#include <array>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <sstream>

namespace {

std::string readDocumentFile(const std::string &name)
{
    std::ifstream file(std::string(DAISYROUTE_SOURCE_DIR) + "/Documents/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

constexpr std::string_view Faulty = R"(environment = "Test"
address_max_age = "5"
colour = "blue"
[[class]]
name = "desk"
policy = "fast"
deadline = 7
hedge_quantile = 1.5
[[class]]
name = "desk"
policy = "latency"
deadline = "1.5 s"
[[tenant]]
name = "shops"
weight = 0
[[index]]
name = "stock"
slots_per_server = 4
connections_per_server = 2
connect_time = "6 ms"
shards = [
    { name = "00", servers = ["a", "z", "a"] },
    { name = "00", servers = [] },
]
servers = [
    { id = "a", address = "localhost:80", data_centre = "one" },
    { id = "b", address = "127.0.0.1:81" },
]
)";

} // namespace

// An operator must see all mistakes at once, each with its place, or fixing a document takes many rounds.
TEST(DocumentParser, ReportsAllMistakesInOnePass)
{
    const auto outcome = Configuration::parseDocument(Faulty);
    EXPECT_FALSE(outcome.document.has_value());
    std::string found;
    for (const auto &mistake : outcome.mistakes)
        found += std::to_string(mistake.line) + " " + mistake.path + " " + mistake.value + "\n";
    EXPECT_EQ(found, "1 environment 'Test'\n"
                     "2 address_max_age '5'\n"
                     "3 colour 'blue'\n"
                     "6 class[0].policy 'fast'\n"
                     "7 class[0].deadline 7\n"
                     "8 class[0].hedge_quantile 1.5\n"
                     "9 class[1].latency_target \n"
                     "10 class[1].name desk\n"
                     "15 tenant[0].weight 0\n"
                     "19 index[0].connections_per_server 2\n"
                     "22 index[0].shards[0].servers[1] z\n"
                     "22 index[0].shards[0].servers[2] a\n"
                     "23 index[0].shards[1].name 00\n"
                     "23 index[0].shards[1].servers []\n"
                     "26 index[0].servers[0].address 'localhost:80'\n"
                     "27 index[0].servers[1].data_centre \n"
                     "27 index[0].servers[1].id 'b'\n");
}

// The message must say what would be accepted, not only that something is wrong.
// A document with a mistake in every line gave an answer many times its size.
TEST(DocumentParser, ListsTheFirstOfVeryManyMistakes)
{
    std::string text;
    for (int key = 0; key < 20'000; ++key)
        text += fmt::format("k{} = 0\n", key);
    text += fmt::format("environment = \"{}\"\n", std::string(100'000, 'E'));
    const auto outcome = Configuration::parseDocument(text);
    EXPECT_FALSE(outcome.document.has_value());
    EXPECT_GE(outcome.mistakes.size(), 100U);
    std::size_t bytes = 0;
    for (const auto &mistake : outcome.mistakes)
        bytes += Configuration::describe(mistake).size();
    EXPECT_LT(bytes, 100'000U);
    EXPECT_EQ(outcome.mistakes.front().value, "the rest");
}

TEST(DocumentParser, DescribesOneMistake)
{
    const auto outcome = Configuration::parseDocument(Faulty);
    ASSERT_GT(outcome.mistakes.size(), 4U);
    EXPECT_EQ(Configuration::describe(outcome.mistakes[4]),
              "line 7: class[0].deadline: 7 is not accepted; accepted: a duration from \"1 ms\" to "
              "\"10 min\" with the unit us, ms, s, min or h");
}

// A syntax error must name its line instead of ending the process.
TEST(DocumentParser, ReportsSyntaxErrorsWithLine)
{
    const auto outcome = Configuration::parseDocument("environment = \"x\"\naddress_max_age = \n");
    ASSERT_EQ(outcome.mistakes.size(), 1U);
    EXPECT_EQ(outcome.mistakes[0].line, 2U);
}

// Control parses whatever operators send; no input may crash it or pass as a valid document.
RC_GTEST_PROP(DocumentParser, SurvivesDamagedDocuments, (std::size_t position, char replacement))
{
    static const auto Original = readDocumentFile("koperative.toml");
    auto text = Original;
    text[position % text.size()] = replacement;
    const auto outcome = Configuration::parseDocument(text);
    RC_ASSERT(outcome.document.has_value() == outcome.mistakes.empty());
}

// The delivered documents must have the sizes of the two deployments in section 1.3 of the design.
TEST(DocumentParser, AcceptsTheDeploymentsAtFullSize)
{
    struct Expected
    {
        std::string file;
        std::vector<std::array<std::size_t, 4>> indexes; ///< Shards, servers, slots, connections.
        std::size_t dataCentres;
    };
    const std::vector<Expected> deployments {
        {"koperative.toml", {{20, 40, 2, 30}, {30, 60, 2, 30}, {1, 7, 3, 130}, {1, 3, 3, 130}}, 3},
        {"ceylon-smooth.toml", {{20, 40, 2, 30}, {30, 60, 2, 30}, {1, 4, 4, 50}, {1, 4, 4, 50}}, 4}};
    for (const auto &expected : deployments) {
        const auto outcome = Configuration::parseDocument(readDocumentFile(expected.file));
        for (const auto &mistake : outcome.mistakes)
            ADD_FAILURE() << expected.file << " " << Configuration::describe(mistake);
        ASSERT_TRUE(outcome.document.has_value());
        ASSERT_EQ(outcome.document->indexes.size(), expected.indexes.size());
        std::set<std::string> dataCentres;
        for (std::size_t position = 0; position < expected.indexes.size(); ++position) {
            const auto &index = outcome.document->indexes[position];
            const std::array<std::size_t, 4> sizes {index.shards.size(), index.servers.size(),
                                                    index.slotsPerServer, index.connectionsPerServer};
            EXPECT_EQ(sizes, expected.indexes[position]) << index.name;
            for (const auto &server : index.servers)
                dataCentres.insert(server.dataCentre);
        }
        EXPECT_EQ(dataCentres.size(), expected.dataCentres);
    }
}

// A shard with both replicas in one data centre would not survive the loss of that data centre.
TEST(DocumentParser, DeploymentsSpreadReplicasOverDataCentres)
{
    for (const auto *file : {"koperative.toml", "ceylon-smooth.toml"}) {
        const auto outcome = Configuration::parseDocument(readDocumentFile(file));
        ASSERT_TRUE(outcome.document.has_value());
        for (const auto &index : outcome.document->indexes) {
            for (const auto &shard : index.shards) {
                std::set<std::string> dataCentres;
                for (const auto &id : shard.serverIds)
                    dataCentres.insert(index.findServer(id)->dataCentre);
                EXPECT_GT(dataCentres.size(), 1U) << index.name << " " << shard.name;
            }
        }
    }
}

// A duration without a unit would be read as a thousand times too long or too short.
TEST(DurationText, NeedsAUnit)
{
    EXPECT_EQ(Configuration::parseDuration("6 ms"), Base::milliseconds(6));
    EXPECT_EQ(Configuration::parseDuration("1.5 s"), Base::milliseconds(1500));
    EXPECT_EQ(Configuration::parseDuration("250us"), Base::microseconds(250));
    for (const auto *text : {"", "6", "ms", "-6 ms", "6 m s", "6 ms ", "1e3 ms", "inf s", "nan s", " 6 ms"})
        EXPECT_FALSE(Configuration::parseDuration(text).has_value()) << text;
}

// What a diff prints must be accepted when it is pasted into a document.
RC_GTEST_PROP(DurationText, FormattedDurationsParseBack, (std::uint32_t microseconds))
{
    const Base::Duration duration(microseconds);
    RC_ASSERT(Configuration::parseDuration(Configuration::formatDuration(duration)) == duration);
}
