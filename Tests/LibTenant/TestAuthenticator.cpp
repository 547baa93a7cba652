#include "LibTenant/Authenticator.h"

#include <gtest/gtest.h>

namespace {

using Base::milliseconds;
using Base::seconds;

const Base::Instant Start {seconds(1000)};
constexpr Base::Duration Bound = seconds(5);

std::shared_ptr<const Route::RouteTable> tableOf(std::uint64_t version,
                                                 const std::map<std::string, std::string> &keysByTenant)
{
    Route::Configuration configuration;
    configuration.version = version;
    Route::RouteRule route;
    route.name = "closed";
    route.host = "h";
    route.prefix = "/";
    configuration.routes.push_back(route);
    route.name = "open";
    route.prefix = "/open/";
    route.isPublic = true;
    configuration.routes.push_back(route);
    if (!keysByTenant.empty())
        configuration.tenants.emplace();
    for (const auto &[name, key] : keysByTenant) {
        Route::TenantRule tenant;
        tenant.name = name;
        if (!key.empty())
            tenant.keys.push_back(Route::digestOfKey(key));
        configuration.tenants->push_back(tenant);
        configuration.tenantsDigest =
            31 * configuration.tenantsDigest + std::hash<std::string> {}(name + key);
    }
    return std::make_shared<const Route::RouteTable>(std::move(configuration));
}

class AuthenticatorTest : public ::testing::Test
{
protected:
    void use(std::uint64_t version, const std::map<std::string, std::string> &keysByTenant)
    {
        table = tableOf(version, keysByTenant);
        authenticator.setTable(table);
    }

    /// Name of the tenant, of the error, or "none".
    std::string judge(Base::Instant now, const std::vector<std::string_view> &keys,
                      const char *path = "/x") const
    {
        const auto verdict = authenticator.check(now, *table->find("h", path), keys);
        if (verdict.refusal)
            return std::string(Base::errorName(*verdict.refusal));
        return verdict.tenant == nullptr ? "none" : verdict.tenant->name;
    }

    Tenant::Authenticator authenticator {Bound};
    std::shared_ptr<const Route::RouteTable> table;
};

} // namespace

TEST_F(AuthenticatorTest, NamesTheTenantOfTheKey)
{
    use(1, {{"a", "key-a"}, {"b", "key-b"}, {"without", ""}});
    authenticator.confirm(1, Start);
    EXPECT_EQ(judge(Start, {"key-a"}), "a");
    EXPECT_EQ(judge(Start, {"key-b"}), "b");
    EXPECT_EQ(judge(Start, {"key-c"}), "unauthorized");
    EXPECT_EQ(judge(Start, {""}), "unauthorized");
    EXPECT_EQ(judge(Start, {}), "unauthorized");
    // Which of several keys a caller means is not known, even if they are equal.
    EXPECT_EQ(judge(Start, {"key-a", "key-b"}), "unauthorized");
    EXPECT_EQ(judge(Start, {"key-a", "key-a"}), "unauthorized");
}

TEST_F(AuthenticatorTest, PublicRoutesNeedNoKeyAndNoConfirmation)
{
    use(1, {{"a", "key-a"}});
    EXPECT_EQ(judge(Start, {}, "/open/x"), "none");
    EXPECT_EQ(judge(Start, {"key-a"}, "/open/x"), "none");
    EXPECT_EQ(judge(Start, {"unknown"}, "/open/x"), "none");
}

// A deployment without tenants must neither need confirmations nor judge headers that its callers use.
TEST_F(AuthenticatorTest, CostsNothingWithoutTenants)
{
    use(1, {});
    EXPECT_FALSE(authenticator.isActive());
    EXPECT_FALSE(authenticator.needsConfirmations());
    EXPECT_TRUE(authenticator.mayServeKeys(Start));
    EXPECT_EQ(judge(Start, {"x", "y"}), "none");
    EXPECT_EQ(judge(Start, {}), "none");
}

// A restarted gateway may hold an old configuration from another one that is out of touch as well.
TEST_F(AuthenticatorTest, RestartedGatewayServesOnlyAfterAConfirmation)
{
    use(1, {{"a", "key-a"}});
    EXPECT_EQ(judge(Start, {"key-a"}), "configuration_not_current");
    EXPECT_EQ(judge(Start, {"unknown"}), "configuration_not_current");
    authenticator.confirm(2, Start); // Of a configuration that has not arrived here.
    EXPECT_EQ(judge(Start, {"key-a"}), "configuration_not_current");
    use(2, {{"a", "other"}});
    EXPECT_EQ(judge(Start, {"key-a"}), "unauthorized");
    EXPECT_EQ(judge(Start, {"other"}), "a");
}

// Cut off, or frozen and woken: the clock counts on while the VM is suspended.
TEST_F(AuthenticatorTest, KeysRunOutWithinTheBound)
{
    use(1, {{"a", "key-a"}});
    authenticator.confirm(1, Start);
    EXPECT_EQ(judge(Start + milliseconds(4499), {"key-a"}), "a");
    EXPECT_EQ(judge(Start + milliseconds(4500), {"key-a"}), "configuration_not_current");
    EXPECT_EQ(judge(Start + seconds(60), {"key-a"}), "configuration_not_current");
    // Back in touch.
    authenticator.confirm(1, Start + seconds(59));
    EXPECT_EQ(judge(Start + seconds(60), {"key-a"}), "a");
}

// A caller does not come back after a 401, so one from an outdated configuration would lose its request.
TEST_F(AuthenticatorTest, UnknownKeysAreRejectedOnlyWhileCurrent)
{
    use(1, {{"a", "key-a"}});
    authenticator.confirm(1, Start);
    EXPECT_EQ(judge(Start + milliseconds(1999), {"new"}), "unauthorized");
    EXPECT_EQ(judge(Start + milliseconds(2000), {"new"}), "configuration_not_current");
    EXPECT_EQ(judge(Start + milliseconds(2000), {}), "configuration_not_current");
    EXPECT_EQ(judge(Start + milliseconds(2000), {"key-a"}), "a");
}

// Replies that come late or in another order must neither extend nor shorten the time.
TEST_F(AuthenticatorTest, LateRepliesChangeNothing)
{
    use(3, {{"a", "key-a"}});
    authenticator.confirm(3, Start);
    authenticator.confirm(3, Start - seconds(30));
    EXPECT_EQ(judge(Start + milliseconds(4499), {"key-a"}), "a");
    EXPECT_EQ(judge(Start + milliseconds(4500), {"key-a"}), "configuration_not_current");
    // What was true of an older version holds for the newer one.
    authenticator.confirm(2, Start + seconds(1));
    EXPECT_EQ(judge(Start + milliseconds(5499), {"key-a"}), "a");
}

// A key that another version took away: the newer version is in force at once, whatever is confirmed.
TEST_F(AuthenticatorTest, NewerConfigurationTakesTheKeyAway)
{
    use(1, {{"a", "key-a"}, {"b", "key-b"}});
    authenticator.confirm(1, Start);
    use(2, {{"a", ""}, {"b", "key-b"}});
    EXPECT_EQ(judge(Start, {"key-a"}), "unauthorized");
    EXPECT_EQ(judge(Start, {"key-b"}), "b");
}

// Without a bound a gateway serves on what it knows, but still rejects nobody by an old configuration.
TEST_F(AuthenticatorTest, KeysDoNotRunOutWithoutABound)
{
    authenticator.setKeyRemovalBound({});
    use(1, {{"a", "key-a"}});
    EXPECT_FALSE(authenticator.needsConfirmations());
    EXPECT_EQ(judge(Start, {"key-a"}), "a");
    EXPECT_EQ(judge(Start, {"new"}), "configuration_not_current");
    authenticator.confirm(1, Start);
    EXPECT_EQ(judge(Start + seconds(1), {"new"}), "unauthorized");
    EXPECT_EQ(judge(Start + seconds(60), {"new"}), "configuration_not_current");
    EXPECT_EQ(judge(Start + seconds(60), {"key-a"}), "a");
}

TEST(ConfigurationCurrency, CountsFromTheArrivalAndRoundsUp)
{
    Tenant::ConfigurationCurrency currency;
    EXPECT_FALSE(currency.confirmedBeforeMs(Start).has_value());
    currency.hold(4);
    currency.confirm(4, Start);
    EXPECT_EQ(currency.confirmedBeforeMs(Start - seconds(1)), 0U);
    EXPECT_EQ(currency.confirmedBeforeMs(Start + Base::microseconds(1)), 1U);
    EXPECT_EQ(currency.confirmedBeforeMs(Start + seconds(2)), 2000U);
    EXPECT_FALSE(currency.confirmedBeforeMs(Start + seconds(50LL * 86400)).has_value());
}

// A registry whose log was set aside starts again without a configuration.
TEST(ConfigurationCurrency, OlderVersionStartsAnew)
{
    Tenant::ConfigurationCurrency currency;
    currency.hold(4);
    currency.confirm(4, Start);
    currency.hold(0);
    EXPECT_FALSE(currency.confirmedAt().has_value());
    currency.confirm(4, Start + seconds(1));
    EXPECT_FALSE(currency.confirmedAt().has_value());
    currency.hold(4);
    EXPECT_EQ(currency.confirmedAt(), Start + seconds(1));
}
