#include "LibSettings/KeyFile.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iostream>
#include <sstream>

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

// Callers' keys may be short, and reach the program by a file or the standard input only.
TEST(KeyFile, ReadsSecretsOfAnyLength)
{
    const auto path = writeKey(" k1\n");
    EXPECT_EQ(Settings::readSecret("--caller-key-file", path).value_or(""), "k1");
    std::filesystem::remove(path);
    const auto missing = Settings::readSecret("--caller-key-file", path);
    ASSERT_FALSE(missing.has_value());
    EXPECT_TRUE(missing.error().detail.starts_with("--caller-key-file: ")) << missing.error().detail;
    std::istringstream input("k2\n");
    auto *before = std::cin.rdbuf(input.rdbuf());
    EXPECT_EQ(Settings::readSecret("--caller-key-file", "-").value_or(""), "k2");
    std::cin.rdbuf(before);
    std::cin.clear();
}
