#include "LibSettings/KeyFile.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace {

std::string writeKey(const std::string &content)
{
    const auto *test = testing::UnitTest::GetInstance()->current_test_info();
    auto path = testing::TempDir() + "daisyroute-key-" + test->name();
    std::ofstream(path) << content;
    return path;
}

} // namespace

// Editors end files with a line break; a key that keeps it would not match on other VMs.
TEST(KeyFile, DropsSpaceAroundTheKey)
{
    const auto path = writeKey("0123456789abcdef\n");
    EXPECT_EQ(Settings::readKeyFile(path).value_or(""), "0123456789abcdef");
    std::filesystem::remove(path);
}

// An empty, short or missing key would let anyone in.
TEST(KeyFile, RefusesWeakKeys)
{
    const auto path = writeKey("short\n");
    EXPECT_FALSE(Settings::readKeyFile(path).has_value());
    std::filesystem::remove(path);
    EXPECT_FALSE(Settings::readKeyFile(path).has_value());
}
