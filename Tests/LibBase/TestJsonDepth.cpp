#include "LibBase/JsonDepth.h"

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
