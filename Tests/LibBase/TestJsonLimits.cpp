#include "LibBase/JsonLimits.h"

#include <gtest/gtest.h>
#include <string>

// A text that a parser would nest deeper must not pass, and brackets within strings must not count.
TEST(JsonDepth, CountsOpenObjectsAndLists)
{
    EXPECT_FALSE(Base::isNestedDeeperThan("", 0));
    EXPECT_FALSE(Base::isNestedDeeperThan("5", 0));
    EXPECT_TRUE(Base::isNestedDeeperThan("[]", 0));
    EXPECT_FALSE(Base::isNestedDeeperThan(R"({"a":[1],"b":[2]})", 2));
    EXPECT_TRUE(Base::isNestedDeeperThan(R"({"a":[{}]})", 2));
    EXPECT_FALSE(Base::isNestedDeeperThan(R"({"a":"[[[{{\"[["})", 1));
    EXPECT_TRUE(Base::isNestedDeeperThan(std::string(65, '['), Base::MaxJsonDepth));
}

// Megabytes of "0," or "{}," took 16 to 50 times as much memory once they were parsed.
TEST(JsonLimits, CountsValues)
{
    EXPECT_FALSE(Base::holdsMoreValuesThan("", 1));
    EXPECT_FALSE(Base::holdsMoreValuesThan(R"({"a":1,"b":[2,3]})", 6));
    EXPECT_TRUE(Base::holdsMoreValuesThan(R"({"a":1,"b":[2,3]})", 4));
    EXPECT_FALSE(Base::holdsMoreValuesThan(R"(["a,{[\",,,"])", 2));
    std::string list = "[0";
    for (std::size_t value = 0; value < Base::MaxJsonValues; ++value)
        list += ",0";
    EXPECT_FALSE(Base::isWithinJsonLimits(list + "]"));
    EXPECT_TRUE(Base::isWithinJsonLimits(list.substr(0, list.size() / 2) + "]"));
}
