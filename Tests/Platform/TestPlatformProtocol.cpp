#include "LibBase/JsonLimits.h"
#include "LibTenant/Authenticator.h"
#include "platform/JsonText.h"
#include "platform/PlatformProtocol.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace {

const Platform::PlatformProtocol Protocol;

Base::Result<Route::Configuration> decode(const std::string &text,
                                          const Route::Configuration *previous = nullptr)
{
    return Protocol.decodeConfiguration(text, previous);
}

/// A configuration with one route; `route` replaces the fields after its name.
std::string configuration(const std::string &route, const std::string &version = "7")
{
    return fmt::format(R"({{"version":{},"routes":[{{"name":"r",{}}}],"services":[{{"name":"s",)"
                       R"("healthPath":"/health","maxConnections":28,"protocol":"h1","tls":false}}],)"
                       R"("limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
                       R"("idleTimeoutMs":15000}}}})",
                       version, route);
}

constexpr const char *ProperRoute =
    R"("host":"H.example","pathPrefix":"/a/","routeType":"safe","timeoutMs":1000,)"
    R"("targetLatencyMs":100,"priority":2,"service":"s","attempts":2)";

} // namespace

TEST(PlatformProtocol, DecodesRoutes)
{
    const auto decoded = decode(configuration(ProperRoute));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->version, 7U);
    ASSERT_EQ(decoded->routes.size(), 1U);
    const auto &route = decoded->routes[0];
    EXPECT_EQ(route.host, "h.example");
    EXPECT_EQ(route.repeatability, Route::Repeatability::Idempotent);
    EXPECT_EQ(route.timeout, Base::milliseconds(1000));
    EXPECT_EQ(route.latencyTarget, Base::milliseconds(100));
    EXPECT_EQ(route.attempts, 2U);
    EXPECT_EQ(route.rank, 2U);
    EXPECT_EQ(decoded->services.at("s").maxConnections, 28U);
    EXPECT_EQ(decoded->limits.idleTimeout, Base::seconds(15));
}

TEST(PlatformProtocol, DecodesGathersAndSplits)
{
    const auto gather = decode(configuration(
        R"("host":"h","pathPrefix":"/a/","routeType":"safe","timeoutMs":1000,"gather":["s"],"topK":10,"minCoverage":0.89)"));
    ASSERT_TRUE(gather.has_value());
    ASSERT_TRUE(gather->routes[0].gather.has_value());
    EXPECT_EQ(gather->routes[0].gather->recordLimit, 10U);
    EXPECT_DOUBLE_EQ(gather->routes[0].gather->minimumCoverage, 0.89);
    const auto split = decode(configuration(
        R"("host":"h","pathPrefix":"/a/","routeType":"unsafe","timeoutMs":1000,"trafficSplit":[{"service":"s","weight":3}])"));
    ASSERT_TRUE(split.has_value());
    EXPECT_EQ(split->routes[0].repeatability, Route::Repeatability::AtMostOnce);
    EXPECT_DOUBLE_EQ(split->routes[0].targets[0].weight, 3.0);
}

// What is invalid must never be stored; each of these is a mistake that operators make.
TEST(PlatformProtocol, RefusesInvalidConfigurations)
{
    const auto whole = configuration(ProperRoute);
    EXPECT_FALSE(decode(whole.substr(0, whole.size() - 1)).has_value());
    EXPECT_FALSE(decode("").has_value());
    EXPECT_FALSE(decode("[]").has_value());
    EXPECT_FALSE(decode(configuration(ProperRoute, "\"7\"")).has_value());
    EXPECT_FALSE(decode(configuration(ProperRoute, "-1")).has_value());
    for (
        const char *route :
        {R"("host":"h","pathPrefix":"/a/","routeType":"safe","timeoutMs":0,"service":"s")",
         R"("host":"h","pathPrefix":"/a/","routeType":"safe","timeoutMs":10,"service":"t")",
         R"("host":"h","pathPrefix":"/a/","routeType":"safe","timeoutMs":10)",
         R"("host":"h","pathPrefix":"/a/","routeType":"safe","timeoutMs":10,"trafficSplit":[{"service":"s","weight":0}])",
         R"("host":1,"pathPrefix":"/a/","routeType":"safe","timeoutMs":10,"service":"s")",
         R"("host":"h","pathPrefix":"/a/","routeType":"safe","timeoutMs":"10","service":"s")"}) {
        const auto decoded = decode(configuration(route));
        EXPECT_FALSE(decoded.has_value()) << route;
    }
}

// Targets beside those in use were not looked at, so that an unknown service in them was acknowledged.
TEST(PlatformProtocol, RefusesInvalidTargetsBesideThoseInUse)
{
    const std::string place = R"("host":"h","pathPrefix":"/a/","routeType":"safe","timeoutMs":10,)";
    const std::string gather = R"("gather":["s"],"topK":1,"minCoverage":1.0,)";
    for (const auto &used : {std::string(R"("service":"s",)"), gather}) {
        const auto split = [&](const std::string &parts) {
            return decode(configuration(fmt::format(R"({}{}"trafficSplit":{})", place, used, parts)));
        };
        EXPECT_TRUE(split(R"([{"service":"s","weight":1}])").has_value()) << used;
        EXPECT_FALSE(split(R"([{"service":"t","weight":1}])").has_value()) << used;
        EXPECT_FALSE(split(R"([{"service":"s","weight":0}])").has_value()) << used;
        EXPECT_FALSE(split("[]").has_value()) << used;
        EXPECT_FALSE(split("7").has_value()) << used;
    }
    EXPECT_FALSE(decode(configuration(place + gather + R"("service":"t")")).has_value());
    const auto both = decode(configuration(place + gather + R"("service":"s")"));
    ASSERT_TRUE(both.has_value());
    EXPECT_TRUE(both->routes[0].gather.has_value());
    EXPECT_TRUE(both->routes[0].targets.empty());
}

// Load pattern: hundreds of routes over a hundred shards, of which one changes, many times a second. Decoding
// all of them held up every request of a small VM for 70 ms.
TEST(PlatformProtocol, DecodesOnlyRoutesThatChanged)
{
    const auto manyRoutes = [](std::uint32_t version, std::size_t changed, std::size_t count) {
        std::string routes;
        for (std::size_t index = 0; index < count; ++index)
            routes += fmt::format(R"({}{{"name":"r{}","host":"h","pathPrefix":"/{}/","routeType":"safe",)"
                                  R"("timeoutMs":{},"gather":["s","t"],"topK":3,"minCoverage":0.5}})",
                                  index == 0 ? "" : ",\n ", index, index, index == changed ? 50 : 100);
        return fmt::format(R"({{"routes" : [{}],"version":{},"services":[{{"name":"s"}},{{"name":"t"}}]}})",
                           routes, version);
    };
    auto before = decode(manyRoutes(1, 5, 30));
    ASSERT_TRUE(before.has_value());
    const auto text = manyRoutes(2, 7, 31);
    const auto after = decode(text, &*before);
    const auto whole = decode(text);
    ASSERT_TRUE(after.has_value() && whole.has_value());
    EXPECT_EQ(after->version, 2U);
    EXPECT_EQ(after->routes, whole->routes);
    EXPECT_EQ(after->services, whole->services);
    EXPECT_EQ(after->routes[5].timeout, Base::milliseconds(100));
    EXPECT_EQ(after->routes[7].timeout, Base::milliseconds(50));
    // A mark on what is held shows which routes were taken over.
    for (auto &route : before->routes)
        route.rank = 9;
    const auto marked = decode(text, &*before);
    ASSERT_TRUE(marked.has_value());
    const auto decodedAnew = std::count_if(marked->routes.begin(), marked->routes.end(),
                                           [](const auto &route) { return route.rank != 9; });
    EXPECT_EQ(decodedAnew, 3);
}

namespace {

/// A configuration of one route and these tenants.
std::string withTenants(const std::string &tenants, const std::string &version = "7")
{
    auto text = configuration(std::string(ProperRoute) + R"(,"public":true)", version);
    text.back() = ',';
    return text + R"("tenants":)" + tenants + "}";
}

} // namespace

TEST(PlatformProtocol, DecodesTenants)
{
    const auto decoded = decode(withTenants(
        R"([{"name":"a","apiKeys":["first","second"],"priority":1,"ratePerS":17,"burst":2.5},{"name":"b"}])"));
    ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
    EXPECT_TRUE(decoded->routes[0].isPublic);
    ASSERT_EQ(decoded->tenantRules().size(), 2U);
    const auto &tenant = decoded->tenantRules()[0];
    EXPECT_EQ(tenant.name, "a");
    EXPECT_EQ(tenant.keys, (std::vector {Route::digestOfKey("first"), Route::digestOfKey("second")}));
    EXPECT_EQ(tenant.rank, 1U);
    EXPECT_DOUBLE_EQ(tenant.requestsPerSecond, 17.0);
    EXPECT_DOUBLE_EQ(tenant.burst, 2.5);
    // The last key of a tenant may be taken away.
    EXPECT_TRUE(decoded->tenantRules()[1].keys.empty());
    EXPECT_FALSE(decoded->tenantRules()[1].rank.has_value());
    EXPECT_DOUBLE_EQ(decoded->tenantRules()[1].requestsPerSecond, 0.0);
}

TEST(PlatformProtocol, ConfigurationsWithoutTenantsHaveNone)
{
    const auto decoded = decode(configuration(ProperRoute));
    ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
    EXPECT_FALSE(decoded->tenants.has_value());
    EXPECT_FALSE(decoded->routes[0].isPublic);
    const auto empty = decode(withTenants("[]"));
    ASSERT_TRUE(empty.has_value()) << empty.error().detail;
    ASSERT_TRUE(empty->tenants.has_value());
    EXPECT_TRUE(empty->tenants->empty());
}

// After the last tenant had been removed, requests with any key and with none were served.
TEST(PlatformProtocol, EmptyListOfTenantsLetsNobodyIn)
{
    const Base::Instant now {Base::seconds(1000)};
    Tenant::Authenticator authenticator(Base::seconds(5));
    const auto apply = [&](const std::string &text) {
        auto decoded = decode(text);
        ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
        decoded->routes[0].isPublic = false;
        const auto version = decoded->version;
        authenticator.setTable(std::make_shared<const Route::RouteTable>(std::move(*decoded)));
        authenticator.confirm(version, now);
    };
    const Route::RouteRule closed;
    const std::vector<std::vector<std::string_view>> requests {{"first"}, {"never-held"}, {}};
    apply(withTenants(R"([{"name":"a","apiKeys":["first"]}])", "1"));
    EXPECT_FALSE(authenticator.check(now, closed, requests.front()).refusal.has_value());
    apply(withTenants("[]", "2"));
    EXPECT_TRUE(authenticator.needsConfirmations());
    for (const auto &keys : requests)
        EXPECT_EQ(authenticator.check(now, closed, keys).refusal, Base::ErrorKind::Unauthorized);
    apply(configuration(ProperRoute, "3"));
    for (const auto &keys : requests)
        EXPECT_FALSE(authenticator.check(now, closed, keys).refusal.has_value());
}

// Without these fields a restriction is lifted. A field that is there and holds nothing must not lift it.
TEST(PlatformProtocol, NullLiftsNoRestriction)
{
    for (const char *tenants : {"null", " null ", R"([{"name":"a","apiKeys":["k"],"ratePerS":null}])"}) {
        const auto decoded = decode(withTenants(tenants));
        ASSERT_FALSE(decoded.has_value()) << tenants;
        EXPECT_EQ(decoded.error().kind, Base::ErrorKind::DocumentInvalid) << tenants;
    }
    EXPECT_FALSE(decode(R"({"version":1,"routes":[],"services":[{"name":"s","warmupPerS":null}]})"));
}

TEST(PlatformProtocol, DecodesTheRateOfColdServers)
{
    const auto decoded =
        decode(R"({"version":1,"routes":[],"services":[{"name":"s","warmupPerS":2.5},{"name":"t"}]})");
    ASSERT_TRUE(decoded.has_value());
    EXPECT_DOUBLE_EQ(decoded->services.at("s").coldRequestsPerSecond, 2.5);
    EXPECT_DOUBLE_EQ(decoded->services.at("t").coldRequestsPerSecond, 0.0);
    EXPECT_FALSE(decode(R"({"version":1,"routes":[],"services":[{"name":"s","warmupPerS":"2"}]})"));
}

// An operator's mistake must neither take effect nor show a key in a log.
TEST(PlatformProtocol, RefusesInvalidTenantsWithoutNamingKeys)
{
    const std::string key = "sK9x2";
    for (const char *tenants : {
             R"([{"name":"a","apiKeys":["sK9x2"]},{"name":"b","apiKeys":["other","sK9x2"]}])",
             R"([{"name":"a"},{"name":"a"}])",
             R"([{"name":"a","apiKeys":["sK9x2"]},{"name":"a","apiKeys":["sK9x2"]}])",
             R"([{"apiKeys":["sK9x2"]}])",
             R"([{"name":"","apiKeys":["sK9x2"]}])",
             R"([{"name":"a\r\nX-Other: 1","apiKeys":["sK9x2"]}])",
             R"([{"name":" a"}])",
             R"([{"name":7,"apiKeys":["sK9x2"]}])",
             R"([{"name":"a","apiKeys":[""]}])",
             R"([{"name":"a","apiKeys":["sK9x2",7]}])",
             R"([{"name":"a","apiKeys":"sK9x2"}])",
             R"([{"name":"a","apiKeys":{"sK9x2":1}}])",
             R"([{"name":"a","priority":"sK9x2"}])",
             R"([{"name":"a","priority":-1}])",
             R"([{"name":"a","ratePerS":"1"}])",
             R"([{"name":"a","ratePerS":-1}])",
             R"([{"name":"a","burst":[]}])",
             R"(["sK9x2"])",
             R"({"name":"a","apiKeys":["sK9x2"]})",
             R"("sK9x2")",
             R"(7)",
         }) {
        const auto decoded = decode(withTenants(tenants));
        ASSERT_FALSE(decoded.has_value()) << tenants;
        EXPECT_EQ(decoded.error().kind, Base::ErrorKind::DocumentInvalid) << tenants;
        EXPECT_EQ(decoded.error().detail.find(key), std::string::npos) << decoded.error().detail;
    }
    EXPECT_FALSE(decode(configuration(std::string(ProperRoute) + R"(,"public":1)")).has_value());
}

// Load pattern: keys of one tenant among thousands are added and taken away hundreds of times a day.
TEST(PlatformProtocol, DecodesOnlyTenantsThatChanged)
{
    const auto tenants = [](int changed) {
        std::string list = "[";
        for (int index = 0; index < 40; ++index)
            list += fmt::format(R"({}{{"name":"t{}","apiKeys":["k{}"{}]}})", index == 0 ? "" : ",", index,
                                index, index == changed ? R"(,"new")" : "");
        return list + "]";
    };
    auto before = decode(withTenants(tenants(-1)));
    ASSERT_TRUE(before.has_value());
    // A mark on what is held shows which tenants were taken over.
    for (auto &tenant : *before->tenants)
        tenant.burst = 9.0;
    const auto after = decode(withTenants(tenants(5), "8"), &*before);
    ASSERT_TRUE(after.has_value());
    EXPECT_EQ(after->tenantRules()[5].keys.size(), 2U);
    EXPECT_EQ(std::count_if(after->tenantRules().begin(), after->tenantRules().end(),
                            [](const auto &tenant) { return tenant.burst != 9.0; }),
              1);
    EXPECT_NE(after->tenantsDigest, before->tenantsDigest);
    const auto same = decode(withTenants(tenants(5), "9"), &*after);
    ASSERT_TRUE(same.has_value());
    EXPECT_EQ(same->tenantsDigest, after->tenantsDigest);
    EXPECT_EQ(same->tenants, after->tenants);
}

// A tenant whose text did not change may hold a key that another one gets, or stand in the list twice.
TEST(PlatformProtocol, ChecksTenantsThatAreTakenOver)
{
    const std::string first = R"({"name":"a","apiKeys":["k"]})";
    const auto before = decode(withTenants("[" + first + "]"));
    ASSERT_TRUE(before.has_value());
    EXPECT_FALSE(
        decode(withTenants("[" + first + R"(,{"name":"b","apiKeys":["k"]}])"), &*before).has_value());
    EXPECT_FALSE(decode(withTenants("[" + first + "," + first + "]"), &*before).has_value());
    EXPECT_TRUE(decode(withTenants(R"([{"name":"b","apiKeys":["k"]}])"), &*before).has_value());
}

// Routes that are taken over may name a service that is gone, or a place that a new route takes.
TEST(PlatformProtocol, ChecksRoutesThatAreTakenOver)
{
    const std::string route =
        R"({"name":"r","host":"h","pathPrefix":"/a/","routeType":"safe","timeoutMs":10,"service":"s"})";
    const auto text = [](const std::string &routes, const std::string &services) {
        return R"({"version":1,"routes":[)" + routes + R"(],"services":[)" + services + "]}";
    };
    const std::string service = R"({"name":"s"})";
    const auto before = decode(text(route, service));
    ASSERT_TRUE(before.has_value());
    EXPECT_TRUE(decode(text(route, service), &*before).has_value());
    EXPECT_FALSE(decode(text(route, R"({"name":"t"})"), &*before).has_value());
    EXPECT_FALSE(decode(text(route + "," + route, service), &*before).has_value());
    EXPECT_FALSE(decode(text(route + "," + R"({"name":1})", service), &*before).has_value());
}

// review/13: a list of numbers for routes gave seven mistakes for each two bytes, an error of 60 MB in one
// log line, and took registries beyond their memory.
TEST(PlatformProtocol, MistakesDoNotGrowWithTheConfiguration)
{
    const auto listOf = [](const std::string &element) {
        std::string list = "[" + element;
        while (list.size() < 262'144)
            list += "," + element;
        return list + "]";
    };
    for (const auto *field : {"routes", "services", "tenants"}) {
        for (const auto *element : {"0", "{}", "[]", R"({"name":1})", R"({"gather":0,"trafficSplit":0})"}) {
            const auto text = R"({"version":9,"services":[],"routes":[],)" + fmt::format("\"{}\":", field)
                              + listOf(element) + "}";
            const auto decoded = Platform::PlatformProtocol().decodeConfiguration(text, nullptr);
            ASSERT_FALSE(decoded.has_value()) << field << element;
            EXPECT_LE(decoded.error().detail.size(), Base::MaxErrorDetailBytes) << field << element;
        }
    }
    const auto unknownShards =
        R"({"version":9,"services":[],"routes":[{"name":"r","host":"h","pathPrefix":"/",)"
        R"("routeType":"safe","timeoutMs":1,"gather":)"
        + listOf("\"s\"").substr(0, 200'000) + "]}]}";
    const auto decoded = Platform::PlatformProtocol().decodeConfiguration(unknownShards, nullptr);
    ASSERT_FALSE(decoded.has_value());
    EXPECT_LE(decoded.error().detail.size(), Base::MaxErrorDetailBytes);
}

// A parsed element takes up to 50 times its text.
TEST(PlatformProtocol, RefusesElementsWithTooManyValues)
{
    std::string list = "[0";
    while (list.size() < 3 * Base::MaxJsonValues)
        list += ",0";
    for (const auto *place : {R"("routes":[{"x":)", R"("services":[{"x":)", R"("limits":{"a":{"x":)"}) {
        auto text = std::string(R"({"version":9,"services":[],"routes":[],)") + place + list + "]}";
        text += text.find("limits") == std::string::npos ? "]}" : "}}";
        const auto decoded = Platform::PlatformProtocol().decodeConfiguration(text, nullptr);
        ASSERT_FALSE(decoded.has_value());
        EXPECT_NE(decoded.error().detail.find("too many values"), std::string::npos)
            << decoded.error().detail;
    }
}

TEST(JsonText, FindsPartsWithoutDecodingThem)
{
    using Texts = std::vector<std::string_view>;
    Texts keys;
    Texts values;
    const auto keepMember = [&](std::string_view key, std::string_view value) {
        keys.push_back(key);
        values.push_back(value);
    };
    ASSERT_TRUE(Platform::visitObject(R"( {"a\"}" : {"b":[1,2]} , "c":"x,{\\" ,"d":[ ]} )", keepMember));
    EXPECT_EQ(keys, (Texts {R"("a\"}")", R"("c")", R"("d")"}));
    EXPECT_EQ(values, (Texts {R"({"b":[1,2]})", R"("x,{\\")", "[ ]"}));
    Texts elements;
    const auto keepElement = [&](std::string_view element) { elements.push_back(element); };
    EXPECT_TRUE(Platform::visitList(values[2], keepElement));
    EXPECT_TRUE(elements.empty());
    EXPECT_TRUE(Platform::visitList("[1, [2,3],{\"x\":4}]", keepElement));
    EXPECT_EQ(elements, (Texts {"1", "[2,3]", R"({"x":4})"}));
    for (const char *broken : {"", "x", "{", "[1", "[1}", "{1}", "[]]"})
        EXPECT_FALSE(Platform::visitObject(broken, [](std::string_view, std::string_view) {})) << broken;
}

// One entry of another writer must not hide the servers beside it.
TEST(PlatformProtocol, ServerPageKeepsReadableEntries)
{
    const std::string proper =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":2,)"
        R"("state":"ready","warmupLeftMs":120,"id":"i-1","born":1700000000000})";
    const std::string body =
        R"({"instances":[{"id":"i-0"},)" + proper
        + ",{\"service\":\"s\xff\",\"x\":\"]}\\\"\"},"
          R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":2,"state":"gone","id":"i-2"},)"
          R"({"service":"s","address":"nowhere","zone":"z","slots":2,"state":"ready","id":"i-3"},)"
          R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"2","state":"ready","id":"i-4"}],)"
          R"("nextPageToken":"p-50"})";
    const auto page = Protocol.decodeServerPage(body);
    ASSERT_TRUE(page.has_value());
    ASSERT_EQ(page->servers.size(), 1U);
    EXPECT_EQ(page->servers[0].id, "i-1");
    EXPECT_EQ(page->servers[0].bornAt, 1700000000000);
    EXPECT_EQ(page->servers[0].warmUpLeftMs, 120U);
    EXPECT_EQ(page->unreadable, 5U);
    EXPECT_EQ(page->nextPage, "p-50");
}

TEST(PlatformProtocol, ServerPageEndsWithNull)
{
    const auto last = Protocol.decodeServerPage(R"({"instances":[],"nextPageToken":null})");
    ASSERT_TRUE(last.has_value());
    EXPECT_TRUE(last->nextPage.empty());
    EXPECT_FALSE(Protocol.decodeServerPage(R"({"instances":[{"id":"i")").has_value());
    EXPECT_FALSE(Protocol.decodeServerPage("").has_value());
    EXPECT_FALSE(Protocol.decodeServerPage(R"({"instances":[],"nextPageToken":5})").has_value());
}

TEST(PlatformProtocol, DecodesEvacuationOrders)
{
    EXPECT_EQ(Protocol.classify("POST", "/v1/evacuation/dc-a"), Adapter::Call::BeginEvacuation);
    EXPECT_EQ(Protocol.classify("DELETE", "/v1/evacuation/dc-a"), Adapter::Call::EndEvacuation);
    EXPECT_EQ(Protocol.classify("GET", "/v1/evacuation/dc-a"), Adapter::Call::Unknown);
    EXPECT_EQ(Protocol.classify("POST", "/v1/evacuation"), Adapter::Call::Unknown);
    EXPECT_EQ(Protocol.evacuatedDataCentre("/v1/evacuation/ooe-linz"), "ooe-linz");
    EXPECT_EQ(Protocol.evacuatedDataCentre("/v1/evacuation/dc%2Da%5F1"), "dc-a_1");
    EXPECT_EQ(Protocol.evacuatedDataCentre("/v1/evacuation/" + std::string(64, 'a')), std::string(64, 'a'));
    for (const auto *rest : {"", "a/b", "a%2Fb", "a%00", "a%0A", "a%", "a%4", "a%4x", "a%+1", "a b", "a%20b",
                             "a,b", "\xc3\xa4", "%-1"})
        EXPECT_EQ(Protocol.evacuatedDataCentre(std::string("/v1/evacuation/") + rest), "") << rest;
    EXPECT_EQ(Protocol.evacuatedDataCentre("/v1/evacuation/" + std::string(65, 'a')), "");
    EXPECT_EQ(Protocol.evacuatedDataCentre("/v1/evacuation/" + std::string(100'000, 'a')), "");
    EXPECT_EQ(Protocol.evacuatedDataCentre("/v1/config"), "");
}

TEST(PlatformProtocol, DecodesWarmUp)
{
    EXPECT_EQ(Protocol.decodeWarmUp("1500"), Base::milliseconds(1500));
    EXPECT_EQ(Protocol.decodeWarmUp("0"), Base::Duration::zero());
    EXPECT_EQ(Protocol.decodeWarmUp("1e300"), Base::seconds(3600));
    for (const auto *value : {"", "x", "-1", "nan", "inf-", "1500 ms", " 1"})
        EXPECT_FALSE(Protocol.decodeWarmUp(value).has_value()) << value;
}

TEST(PlatformProtocol, DecodesServerLoad)
{
    const auto load = Protocol.decodeServerLoad("3,1,8");
    ASSERT_TRUE(load.has_value());
    EXPECT_EQ(load->running, 3U);
    EXPECT_EQ(load->waiting, 1U);
    EXPECT_EQ(load->slots, 8U);
    EXPECT_DOUBLE_EQ(load->slowdown, 1.0);
    EXPECT_DOUBLE_EQ(Protocol.decodeServerLoad("3, 1, 8, 250")->slowdown, 2.5);
    EXPECT_FALSE(Protocol.decodeServerLoad("3,1").has_value());
    EXPECT_FALSE(Protocol.decodeServerLoad("").has_value());
    EXPECT_FALSE(Protocol.decodeServerLoad("x,1,8").has_value());
}

// A damaged value must neither pause a server nor pass for the end of one.
TEST(PlatformProtocol, DecodesNoticesOfServers)
{
    EXPECT_TRUE(Protocol.announcesLeaving("1"));
    for (const char *value : {"", "0", "true", "1 ", "11", "1,1"})
        EXPECT_FALSE(Protocol.announcesLeaving(value)) << value;
    EXPECT_EQ(Protocol.decodePause("3"), Base::seconds(3));
    EXPECT_EQ(Protocol.decodePause("0.25"), Base::milliseconds(250));
    EXPECT_GT(Protocol.decodePause("1e300"), Base::seconds(600));
    for (const char *value : {"", "0", "-1", "x", "3s", "3,4", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"})
        EXPECT_FALSE(Protocol.decodePause(value).has_value()) << value;
}

TEST(PlatformProtocol, ClassifiesCalls)
{
    EXPECT_EQ(Protocol.classify("GET", "/v1/lookup"), Adapter::Call::LookUpGateways);
    EXPECT_EQ(Protocol.classify("GET", "/v1/readiness"), Adapter::Call::CheckReadiness);
    EXPECT_EQ(Protocol.classify("PUT", "/v1/config"), Adapter::Call::ReplaceConfiguration);
    EXPECT_EQ(Protocol.classify("GET", "/v1/config"), Adapter::Call::ReadConfiguration);
    EXPECT_EQ(Protocol.classify("POST", "/v1/config"), Adapter::Call::Unknown);
    EXPECT_EQ(Protocol.callerDataCentre("name=h&region=r&zone=z-1"), "z-1");
    EXPECT_EQ(Protocol.callerDataCentre("name=h"), "");
    EXPECT_EQ(Protocol.serverListTarget(""), "/instances");
    EXPECT_EQ(Protocol.serverListTarget("p 5&"), "/instances?pageToken=p%205%26");
    const std::vector<std::string> addresses {"10.0.0.1:80"};
    EXPECT_EQ(Protocol.encodeGateways(addresses, Base::milliseconds(1500)),
              R"({"addrs":["10.0.0.1:80"],"ttl_s":1.5})");
}
