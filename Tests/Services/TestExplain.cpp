#include "Services/Cli/ExplainCommand.h"

#include <gtest/gtest.h>
#include <sstream>

// An engineer has the id of a failed request and the logs of several processes; the lines that decided it
// must come out in the order of time, with what each process believed then.
TEST(Explain, JoinsLinesOfSeveralProcesses)
{
    std::istringstream first(
        "time=2026-01-01T00:00:01.000Z part=gateway event=configuration_in_force version=4\n"
        "time=2026-01-01T00:00:02.000Z part=gateway event=configuration_in_force version=5\n"
        "prefix time=2026-01-01T00:00:02.500Z part=gateway event=request_answered request=other "
        "outcome=served\n"
        "time=2026-01-01T00:00:03.000Z part=gateway event=request_answered request=ab outcome=partial "
        "lacking=\"s0:reply_lost,\"\n"
        "time=2026-01-01T00:00:04.000Z part=gateway event=server_list_changed servers=3\n");
    std::istringstream second(
        "2026-01-01T00:00:00.500Z info log-store: Created a data directory.\n"
        "time=2026-01-01T00:00:02.700Z part=gateway event=caller_left request=ab after_ms=9\n");
    std::ostringstream output;
    EXPECT_EQ(Services::explainRequest("ab", {{"a", &first}, {"b", &second}}, output), 2U);
    EXPECT_EQ(
        output.str(),
        "a: time=2026-01-01T00:00:02.000Z part=gateway event=configuration_in_force version=5\n"
        "b: time=2026-01-01T00:00:02.700Z part=gateway event=caller_left request=ab after_ms=9\n"
        "a: time=2026-01-01T00:00:03.000Z part=gateway event=request_answered request=ab outcome=partial "
        "lacking=\"s0:reply_lost,\"\n");
}

TEST(Explain, FindsNothingForAnotherRequest)
{
    std::istringstream log("time=1 part=gateway event=request_answered request=abc outcome=served\n");
    std::ostringstream output;
    EXPECT_EQ(Services::explainRequest("ab", {{"a", &log}}, output), 0U);
    EXPECT_EQ(output.str(), "");
}
