#include "LibTenant/KeyTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

Route::TenantRule tenant(const std::string &name, const std::vector<std::string> &keys)
{
    Route::TenantRule rule;
    rule.name = name;
    for (const auto &key : keys)
        rule.keys.push_back(Route::digestOfKey(key));
    return rule;
}

} // namespace

TEST(KeyTable, FindsTheHolderOfEachKey)
{
    const std::vector tenants {tenant("a", {"first", "second"}), tenant("b", {}), tenant("c", {"third"})};
    const Tenant::KeyTable table(tenants);
    EXPECT_EQ(table.find(Route::digestOfKey("first")), 0U);
    EXPECT_EQ(table.find(Route::digestOfKey("second")), 0U);
    EXPECT_EQ(table.find(Route::digestOfKey("third")), 2U);
    EXPECT_FALSE(table.find(Route::digestOfKey("First")).has_value());
    EXPECT_FALSE(table.find(Route::digestOfKey("")).has_value());
}

// A digest that shares the bytes of the hash with a known one must not pass for it.
TEST(KeyTable, ComparesWholeDigests)
{
    const std::vector tenants {tenant("a", {"first"})};
    const Tenant::KeyTable table(tenants);
    for (std::size_t byte = 0; byte < Route::KeyDigest().size(); ++byte) {
        auto digest = Route::digestOfKey("first");
        digest[byte] ^= 1U;
        EXPECT_FALSE(table.find(digest).has_value()) << byte;
    }
}

RC_GTEST_PROP(KeyTable, EqualsASearchThroughAllTenants, ())
{
    const auto key = rc::gen::map(rc::gen::inRange(0, 60), [](int number) { return std::to_string(number); });
    std::vector<Route::TenantRule> tenants;
    std::set<std::string> taken;
    for (const auto &keys : *rc::gen::container<std::vector<std::vector<std::string>>>(
             rc::gen::container<std::vector<std::string>>(key))) {
        std::vector<std::string> own;
        for (const auto &name : keys) {
            if (taken.insert(name).second)
                own.push_back(name);
        }
        tenants.push_back(tenant("t" + std::to_string(tenants.size()), own));
    }
    const Tenant::KeyTable table(tenants);
    const auto digest = Route::digestOfKey(*key);
    const auto holder = std::find_if(tenants.begin(), tenants.end(), [&](const auto &rule) {
        return std::find(rule.keys.begin(), rule.keys.end(), digest) != rule.keys.end();
    });
    const auto found = table.find(digest);
    RC_ASSERT(found.has_value() == (holder != tenants.end()));
    if (found)
        RC_ASSERT(*found == static_cast<std::size_t>(holder - tenants.begin()));
}
