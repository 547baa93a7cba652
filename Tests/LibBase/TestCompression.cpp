#include "LibBase/Compression.h"

#include <gtest/gtest.h>

TEST(Compression, GivesBackTheText)
{
    std::string text;
    for (int i = 0; i < 20000; ++i)
        text += "route " + std::to_string(i % 350);
    const auto bytes = Base::compress(text);
    EXPECT_LT(bytes.size(), text.size() / 5);
    EXPECT_EQ(Base::decompress(bytes, text.size()).value(), text);
    EXPECT_EQ(Base::decompress(Base::compress(""), 10).value(), "");
}

TEST(Compression, RefusesDamagedAndTooLargeInput)
{
    const auto bytes = Base::compress(std::string(100000, 'x'));
    EXPECT_FALSE(Base::decompress(bytes, 1000).has_value());
    EXPECT_FALSE(Base::decompress(bytes.substr(0, bytes.size() / 2), 200000).has_value());
    EXPECT_FALSE(Base::decompress("nonsense", 1000).has_value());
    EXPECT_FALSE(Base::decompress("", 1000).has_value());
}
