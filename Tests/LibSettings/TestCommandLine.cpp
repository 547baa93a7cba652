#include "LibSettings/CommandLine.h"

#include <gtest/gtest.h>

namespace {

using Settings::CommandLine;

const std::vector<Settings::Command> &sampleCommands()
{
    static const std::vector<Settings::Command> Commands {
        {"serve",
         "",
         "Serves.",
         {{"http-address", &Settings::Address, "Where.", "", true},
          {"members", &Settings::MemberList, "Who."},
          {"threads", &Settings::Threads, "How many.", "128"},
          {"join", &Settings::Switch, "Joins."}}},
        {"check", "FILE...", "Checks files.", {{"key-file", &Settings::Text, "Key."}}}};
    return Commands;
}

std::vector<std::string> readServe(CommandLine &line, const std::vector<std::string> &arguments,
                                   const Settings::Environment &environment = {})
{
    return line.read(sampleCommands(), sampleCommands()[0], arguments, environment);
}

} // namespace

// A flag must win over a variable and a variable over the fallback, or one cannot override an environment.
TEST(CommandLine, FlagsWinOverVariables)
{
    CommandLine line;
    const auto mistakes = readServe(line, {"--http-address=127.0.0.1:1"},
                                    {{"DAISYROUTE_HTTP_ADDRESS", "127.0.0.1:2"},
                                     {"DAISYROUTE_JOIN", "1"},
                                     {"DAISYROUTE_KEY_FILE", "of another command"}});
    EXPECT_TRUE(mistakes.empty()) << mistakes.front();
    EXPECT_EQ(line.text("http-address"), "127.0.0.1:1");
    EXPECT_EQ(line.number("threads"), 128U);
    EXPECT_TRUE(line.isOn("join"));
}

// A misspelt setting that is ignored would start a process with other settings than the operator meant.
TEST(CommandLine, RefusesUnknownSettings)
{
    CommandLine line;
    const auto mistakes =
        readServe(line, {"--http=127.0.0.1:1", "--thread", "4"}, {{"DAISYROUTE_THREAD", "4"}});
    ASSERT_EQ(mistakes.size(), 3U);
    EXPECT_TRUE(mistakes[0].starts_with("DAISYROUTE_THREAD: \"4\" is given, but")) << mistakes[0];
    EXPECT_TRUE(mistakes[1].starts_with("--http: there is no such setting of serve")) << mistakes[1];
    EXPECT_TRUE(mistakes[2].starts_with("--thread: there is no such setting of serve")) << mistakes[2];
}

// Each message must name the setting, the value and what is accepted, and all must come at once.
TEST(CommandLine, ReportsAllBadValues)
{
    CommandLine line;
    const auto mistakes = readServe(line, {"--members=a=127.0.0.1:1,a=127.0.0.1:2", "--threads=0"},
                                    {{"DAISYROUTE_JOIN", "yes"}});
    const std::vector<std::string> expected {
        "--http-address or DAISYROUTE_HTTP_ADDRESS: a value is missing; accepted: an address ip:port",
        "--members: \"a=127.0.0.1:1,a=127.0.0.1:2\" is not accepted; accepted: different members id=ip:port, "
        "separated by commas",
        "--threads: \"0\" is not accepted; accepted: a whole number from 1 to 4096",
        "DAISYROUTE_JOIN: \"yes\" is not accepted; accepted: true, false, 1 or 0"};
    EXPECT_EQ(mistakes, expected);
}

// Extra or missing positional arguments must not be dropped without a word.
TEST(CommandLine, ChecksArguments)
{
    CommandLine extra;
    EXPECT_EQ(readServe(extra, {"--http-address=127.0.0.1:1", "extra"}).size(), 1U);
    CommandLine files;
    EXPECT_TRUE(files.read(sampleCommands(), sampleCommands()[1], {"a", "b"}, {}).empty());
    EXPECT_EQ(files.argument("FILE"), (std::vector<std::string> {"a", "b"}));
    CommandLine missing;
    EXPECT_EQ(missing.read(sampleCommands(), sampleCommands()[1], {}, {}).size(), 1U);
}
