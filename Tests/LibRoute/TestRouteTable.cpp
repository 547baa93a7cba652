#include "LibRoute/RouteTable.h"

#include <chrono>
#include <gtest/gtest.h>
#include <string>

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

// Each slash of a path was tried as the end of a prefix, 60 ms for a path of 15,000; a crowd of 50 clients
// kept everybody else out.
TEST(RouteTable, PathOfManySlashesTakesNoQuadraticTime)
{
    std::vector<Route::RouteRule> rules {rule("all", "h", "/")};
    for (int number = 0; number < 400; ++number)
        rules.push_back(rule("r" + std::to_string(number), "h", "/r" + std::to_string(number) + "/a/"));
    const Route::RouteTable table(configurationOf(std::move(rules)));
    const std::string slashes(15'000, '/');
    const auto begin = std::chrono::steady_clock::now();
    for (int times = 0; times < 500; ++times) {
        EXPECT_EQ(nameOf(table.find("h", slashes)), "all");
        EXPECT_EQ(nameOf(table.find("other", slashes)), "none");
        EXPECT_EQ(nameOf(table.find("h", "/r17/a" + slashes)), "r17");
    }
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(5));
}

TEST(RouteTable, HostsCompareWithoutCaseAndPort)
{
    const Route::RouteTable table(configurationOf({rule("a", "Shop.Example", "/a/")}));
    EXPECT_EQ(nameOf(table.find("shop.example:8080", "/a/x")), "a");
    EXPECT_EQ(nameOf(table.find("SHOP.EXAMPLE", "/a/")), "a");
}

// Every error must be reported, so that an invalid configuration is rejected before it is stored.
TEST(Configuration, ReportsEveryError)
{
    EXPECT_TRUE(findMistakes(configurationOf({rule("a", "h", "/a/")})).empty());
    auto unknown = rule("a", "h", "/a/");
    unknown.targets[0].service = "t";
    EXPECT_EQ(findMistakes(configurationOf({unknown})).size(), 1U);
    EXPECT_EQ(findMistakes(configurationOf({rule("a", "h", "/a/"), rule("b", "h", "/a/")})).size(), 1U);
    auto zeroWeight = rule("a", "h", "/a/");
    zeroWeight.targets = {{"s", 0.0}};
    EXPECT_EQ(findMistakes(configurationOf({zeroWeight})).size(), 1U);
    auto zeroTimeout = rule("a", "h", "/a/");
    zeroTimeout.timeout = {};
    EXPECT_EQ(findMistakes(configurationOf({zeroTimeout})).size(), 1U);
    EXPECT_EQ(findMistakes(configurationOf({rule("a", "h", "a/")})).size(), 1U);
    auto gather = rule("a", "h", "/a/");
    gather.targets.clear();
    gather.repeatability = Route::Repeatability::Idempotent;
    gather.gather = Route::GatherRule {{"s", "s", "t"}, 1, 0.5};
    EXPECT_EQ(findMistakes(configurationOf({gather})).size(), 2U);
}
