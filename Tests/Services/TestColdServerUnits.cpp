#include "Services/Gateway/ColdServerUnits.h"

#include "LibAllowance/AllowanceKey.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace {

const Base::Instant Start {Base::seconds(1000)};

class FakeSource final : public Allowance::UnitSource
{
public:
    std::optional<Base::Instant> take(Base::Instant now, std::string_view key) override
    {
        taken.emplace_back(key);
        return stock-- > 0 ? std::optional(now + Base::milliseconds(50)) : std::nullopt;
    }

    bool has(Base::Instant, std::string_view) const override { return stock > 0; }

    void giveBack(Base::Instant, std::string_view key, Base::Instant) override
    {
        givenBack.emplace_back(key);
    }

    int stock = 1;
    std::vector<std::string> taken;
    std::vector<std::string> givenBack;
};

} // namespace

// The key names the rule that registries derive from the configuration, and one start of a server only.
TEST(ColdServerUnits, UsesTheKeyOfTheIncarnation)
{
    FakeSource source;
    Services::ColdServerUnits units(source);
    Forward::Backend server;
    server.record.id = "i-1";
    server.record.service = "s";
    server.record.bornAt = 7;
    const auto unit = units.take(Start, server);
    ASSERT_TRUE(unit.has_value());
    units.giveBack(Start, server, *unit);
    const auto key = Allowance::coldServerKey("s", "i-1", 7);
    EXPECT_EQ(source.taken, std::vector<std::string> {key});
    EXPECT_EQ(source.givenBack, std::vector<std::string> {key});
    EXPECT_EQ(Allowance::ruleOf(key), Allowance::coldServiceRule("s"));
}

// Work is placed anew for arriving units only if some were missing.
TEST(ColdServerUnits, TellsOnceThatUnitsWereMissing)
{
    FakeSource source;
    Services::ColdServerUnits units(source);
    Forward::Backend server;
    EXPECT_TRUE(units.take(Start, server).has_value());
    EXPECT_FALSE(units.takeMissed());
    EXPECT_FALSE(units.take(Start, server).has_value());
    EXPECT_TRUE(units.takeMissed());
    EXPECT_FALSE(units.takeMissed());
}
