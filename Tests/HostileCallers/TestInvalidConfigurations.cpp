// Operators who send invalid configurations. One of 262,144 bytes took each registry that it was sent to
// beyond its memory, and the repetitions ended all of them again and again (review/13).

#include "HostileCallers/Crowd.h"
#include "HostileCallers/Site.h"

#include <array>
#include <filesystem>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace HostileCallers;

namespace {

/// A configuration is `head`, then `element` as often as it fits with commas between, then `tail`.
struct Shape
{
    const char *name;
    const char *head;
    const char *element;
    const char *tail;
};

constexpr std::array Shapes {
    Shape {"NumbersForRoutes", R"("services":[],"routes":[)", "0", "]"},
    Shape {"ObjectsForRoutes", R"("services":[],"routes":[)", "{}", "]"},
    Shape {"ListsForServices", R"("routes":[],"services":[)", "[]", "]"},
    Shape {"ObjectsForTenants", R"("services":[],"routes":[],"tenants":[)", R"({"":{}})", "]"},
    Shape {"NumbersForKeys", R"("services":[],"routes":[],"tenants":[{"name":"t","apiKeys":[)", "0", "]}]"},
    Shape {"EmptyShards", R"("services":[],"routes":[{"name":"r","gather":[)", R"("")", "]}]"},
    Shape {"ObjectsForParts", R"("services":[],"routes":[{"name":"r","trafficSplit":[)", "{}", "]}]"},
    Shape {"NumbersInUnknownField", R"("services":[],"routes":[{"unknown":[)", "0", "]}]"},
    Shape {"ObjectsInUnknownField", R"("services":[],"routes":[{"unknown":[)", R"({"":0})", "]}]"},
    Shape {"ManyFields", R"("services":[],"routes":0)", R"("":0)", ""},
    Shape {"EqualRoutes", R"("services":[],"routes":[)",
           R"({"name":"r","host":"h","pathPrefix":"/","routeType":"safe","timeoutMs":1,"service":"s"})", "]"},
};

/// What a caller's body may have, and the largest that an operator may send.
constexpr std::array Sizes {std::size_t {262'144}, std::size_t {4} * 1024 * 1024};
constexpr int Repetitions = 3;
constexpr std::uintmax_t MaxLogBytes = std::uintmax_t {256} * 1024;

class InvalidConfigurationTest : public ::testing::TestWithParam<std::tuple<Shape, std::size_t>>
{
};

std::string requestOf(const Shape &shape, std::size_t bytes)
{
    auto body = fmt::format(R"({{"version":9,{}{})", shape.head, *shape.tail == '\0' ? "," : "");
    body += shape.element;
    const auto element = fmt::format(",{}", shape.element);
    while (body.size() + element.size() + std::string_view(shape.tail).size() + 1 <= bytes)
        body += element;
    body += fmt::format("{}}}", shape.tail);
    return fmt::format("PUT /v1/config HTTP/1.1\r\nHost: registry\r\nContent-Length: {}\r\n\r\n{}",
                       body.size(), body);
}

std::string nameOf(const ::testing::TestParamInfo<InvalidConfigurationTest::ParamType> &instance)
{
    const auto &[shape, bytes] = instance.param;
    return fmt::format("{}Of{}", shape.name, bytes);
}

} // namespace

TEST_P(InvalidConfigurationTest, DoesNotEndARegistry)
{
    const auto &[shape, bytes] = GetParam();
    Site site;
    ASSERT_TRUE(site.startGateway());
    auto &registry = site.registry();
    const auto request = requestOf(shape, bytes);
    for (int repetition = 0; repetition < Repetitions; ++repetition)
        EXPECT_EQ(statusOf(site.address(Site::OperatorPort), request), 422);
    EXPECT_TRUE(registry.isRunning());
    const auto peak = peakMemoryBytes(registry.id());
    fmt::print("peak of {} MB\n", peak >> 20);
    EXPECT_GT(peak, 0U);
    EXPECT_LE(peak, MemoryMegabytes << 20);
    EXPECT_LE(std::filesystem::file_size(site.directory() + "/registry.log"), MaxLogBytes);
}

INSTANTIATE_TEST_SUITE_P(Shapes, InvalidConfigurationTest,
                         ::testing::Combine(::testing::ValuesIn(Shapes), ::testing::ValuesIn(Sizes)), nameOf);
