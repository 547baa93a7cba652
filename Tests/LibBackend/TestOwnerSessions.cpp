#include "LibBackend/OwnerSession.h"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace {

std::string goldenPath(const std::string &name)
{
    return std::string(DAISYROUTE_SOURCE_DIR) + "/Tests/LibBackend/Golden/" + name;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

class OwnerSessions : public testing::TestWithParam<std::string>
{
};

} // namespace

// Guards against any change of the owner's decisions in whole sessions: slots, deadline order, draining,
// share moves, lease expiry and reconnects. Set DAISYROUTE_UPDATE_GOLDEN=1 to rewrite the traces, then review
// the difference.
TEST_P(OwnerSessions, MatchesGoldenTrace)
{
    const auto trace = OwnerSession().run(readFile(goldenPath(GetParam() + ".script")));
    const auto tracePath = goldenPath(GetParam() + ".trace");
    if (std::getenv("DAISYROUTE_UPDATE_GOLDEN") != nullptr)
        std::ofstream(tracePath) << trace;
    EXPECT_EQ(trace, readFile(tracePath));
}

INSTANTIATE_TEST_SUITE_P(Golden, OwnerSessions,
                         testing::Values("slots-and-deadlines", "drain-and-release", "lost-server",
                                         "lease-expiry"));
