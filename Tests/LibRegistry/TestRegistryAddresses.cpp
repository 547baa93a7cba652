#include "LibRegistry/RegistryAddresses.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace {

std::vector<Consensus::MemberStatus> membersAt(std::initializer_list<const char *> addresses)
{
    std::vector<Consensus::MemberStatus> members;
    for (const auto *address : addresses)
        members.push_back({{address, 1, address, true}, 0, {}});
    return members;
}

} // namespace

// All VMs lost power, and the settings named only registries without a disk afterwards. The members removed
// them as silent, and nobody could find anybody: no request was served until the end of the day.
TEST(RegistryAddresses, RemovedMemberIsRemembered)
{
    Registry::RegistryAddresses addresses;
    addresses.rememberMembers(membersAt({"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}));
    EXPECT_EQ(addresses.withoutMember(membersAt({"10.0.0.1:1", "10.0.0.3:1"}), {}),
              std::vector<std::string> {"10.0.0.2:1"});
    EXPECT_TRUE(addresses.withoutMember(membersAt({"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}), {}).empty());
}

// A founder that the settings do not name is known to the first seed alone. If that is lost before it has
// told anybody, the founder must find the others.
TEST(RegistryAddresses, LeaderLooksForTheRegistriesThatTheSettingsName)
{
    const Registry::RegistryAddresses addresses;
    EXPECT_EQ(addresses.withoutMember(membersAt({"10.0.0.9:1", "10.0.0.2:1"}), {"10.0.0.1:1", "10.0.0.2:1"}),
              std::vector<std::string> {"10.0.0.1:1"});
}

TEST(RegistryAddresses, IntroducerIsRememberedOnce)
{
    Registry::RegistryAddresses addresses;
    EXPECT_TRUE(addresses.remember("10.0.0.1:1"));
    EXPECT_FALSE(addresses.remember("10.0.0.1:1"));
    EXPECT_FALSE(addresses.remember(""));
    EXPECT_EQ(addresses.remembered().size(), 1U);
}

TEST(RegistryAddresses, NumberIsBounded)
{
    Registry::RegistryAddresses addresses;
    for (int number = 0; number < 1000; ++number)
        addresses.remember(fmt::format("10.0.{}.1:1", number));
    EXPECT_EQ(addresses.remembered().size(), Registry::RegistryAddresses::MaxRemembered);
}
