#include "LibRoute/RouteTable.h"

#include <gtest/gtest.h>

namespace {

Route::RouteRule rule(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route::RouteRule route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.timeout = Base::milliseconds(100);
    route.targets = {{"s", 1.0}};
    return route;
}

Route::Configuration configurationOf(std::vector<Route::RouteRule> routes)
{
    Route::Configuration configuration;
    configuration.version = 1;
    configuration.services["s"] = {"s", 10};
    configuration.routes = std::move(routes);
    return configuration;
}

std::string nameOf(const Route::RouteRule *route)
{
    return route == nullptr ? "none" : route->name;
}

} // namespace

TEST(RouteTable, LongestPrefixOfTheHostWins)
{
    const Route::RouteTable table(
        configurationOf({rule("all", "h", "/"), rule("a", "h", "/a/"), rule("ab", "h", "/a/b/")}));
    EXPECT_EQ(nameOf(table.find("h", "/a/b/c/d")), "ab");
    EXPECT_EQ(nameOf(table.find("h", "/a/bc")), "a");
    EXPECT_EQ(nameOf(table.find("h", "/a")), "all");
    EXPECT_EQ(nameOf(table.find("other", "/a/")), "none");
    EXPECT_EQ(nameOf(table.find("h", "a/")), "none");
}

TEST(RouteTable, HostsCompareWithoutCaseAndPort)
{
    const Route::RouteTable table(configurationOf({rule("a", "Shop.Example", "/a/")}));
    EXPECT_EQ(nameOf(table.find("shop.example:8080", "/a/x")), "a");
    EXPECT_EQ(nameOf(table.find("SHOP.EXAMPLE", "/a/")), "a");
}

// Every mistake of a change must be refused before it is stored.
TEST(Configuration, FindsEveryMistake)
{
    EXPECT_TRUE(findMistakes(configurationOf({rule("a", "h", "/a/")})).empty());
    auto unknown = rule("a", "h", "/a/");
    unknown.targets[0].service = "t";
    EXPECT_EQ(findMistakes(configurationOf({unknown})).size(), 1U);
    EXPECT_EQ(findMistakes(configurationOf({rule("a", "h", "/a/"), rule("b", "h", "/a/")})).size(), 1U);
    auto weightless = rule("a", "h", "/a/");
    weightless.targets = {{"s", 0.0}};
    EXPECT_EQ(findMistakes(configurationOf({weightless})).size(), 1U);
    auto timeless = rule("a", "h", "/a/");
    timeless.timeout = {};
    EXPECT_EQ(findMistakes(configurationOf({timeless})).size(), 1U);
    EXPECT_EQ(findMistakes(configurationOf({rule("a", "h", "a/")})).size(), 1U);
    auto gather = rule("a", "h", "/a/");
    gather.targets.clear();
    gather.repeatability = Route::Repeatability::Idempotent;
    gather.gather = Route::GatherRule {{"s", "s", "t"}, 1, 0.5};
    EXPECT_EQ(findMistakes(configurationOf({gather})).size(), 2U);
}
