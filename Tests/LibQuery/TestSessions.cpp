#include "LibQuery/SessionRunner.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace {

const std::filesystem::path GoldenDirectory = DAISYROUTE_SOURCE_DIR "/Tests/LibQuery/Golden";

std::vector<std::string> sessionNames()
{
    std::vector<std::string> names;
    for (const auto &file : std::filesystem::directory_iterator(GoldenDirectory)) {
        if (file.path().extension() == ".session")
            names.push_back(file.path().stem().string());
    }
    std::sort(names.begin(), names.end());
    return names;
}

class Sessions : public testing::TestWithParam<std::string>
{
};

} // namespace

// Guards against unintended changes of decisions: the trace of each session must match its golden file.
// DAISYROUTE_WRITE_GOLDEN=1 writes the traces instead; review the difference before committing it.
TEST_P(Sessions, TraceMatchesGoldenFile)
{
    std::ifstream script(GoldenDirectory / (GetParam() + ".session"));
    const auto trace = SessionRunner().run(script);
    const auto path = GoldenDirectory / (GetParam() + ".trace");
    if (std::getenv("DAISYROUTE_WRITE_GOLDEN") != nullptr) {
        std::ofstream(path) << trace;
        return;
    }
    std::ifstream golden(path);
    std::ostringstream expected;
    expected << golden.rdbuf();
    EXPECT_EQ(trace, expected.str());
}

INSTANTIATE_TEST_SUITE_P(Golden, Sessions, testing::ValuesIn(sessionNames()),
                         [](const auto &session) { return session.param; });
