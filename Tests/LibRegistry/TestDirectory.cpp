#include "LibRegistry/Directory.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace {

using Registry::Directory;

std::vector<Wire::GatewayRecord> gateways(std::size_t count, std::size_t without = SIZE_MAX)
{
    std::vector<Wire::GatewayRecord> records;
    for (std::size_t index = 0; index < count; ++index) {
        const auto id = fmt::format("vm-{:04}", index);
        if (index != without)
            records.push_back({id, index * 7919, "10.0.0.1:" + id, "dc-a", Wire::GatewayState::Serving});
    }
    return records;
}

/// Updates `receiver` from `sender`; returns the number of bytes sent.
std::size_t update(Directory &receiver, const Directory &sender)
{
    const auto copy = sender.copyFor(receiver.digest());
    EXPECT_TRUE(receiver.apply(copy).has_value());
    EXPECT_EQ(receiver.gateways(), sender.gateways());
    EXPECT_EQ(receiver.digest(), sender.digest());
    return copy.packed.size();
}

} // namespace

// With 300 gateways, of which a few restart each second, whole directories were sent several times a second.
TEST(Directory, SendsOnlyTheChanges)
{
    Directory sender;
    Directory receiver;
    ASSERT_TRUE(sender.replace(gateways(300)));
    const auto whole = update(receiver, sender);
    EXPECT_TRUE(sender.replace(gateways(300, 17)));
    EXPECT_FALSE(sender.replace(gateways(300, 17)));
    EXPECT_LT(update(receiver, sender), whole / 10);
    EXPECT_EQ(update(receiver, sender), 0U);
}

// A receiver that missed several changes gets them merged, with only the last state of each gateway.
TEST(Directory, MergesSeveralChanges)
{
    Directory sender;
    Directory receiver;
    sender.replace(gateways(50));
    update(receiver, sender);
    for (std::size_t restarted = 0; restarted < 10; ++restarted) {
        sender.replace(gateways(50, restarted));
        sender.replace(gateways(50));
    }
    sender.replace(gateways(51));
    update(receiver, sender);
}

TEST(Directory, WholeDirectoryForAReceiverThatIsFarBehind)
{
    Directory sender;
    Directory receiver;
    sender.replace(gateways(50));
    update(receiver, sender);
    sender.replace(gateways(49));
    for (std::size_t change = 0; change <= Directory::MaxDeltas; ++change)
        sender.replace(gateways(60 + change));
    EXPECT_EQ(sender.copyFor(receiver.digest()).base, 0U);
    update(receiver, sender);
}

// A registry that has just started must not clear the directory of gateways that connect to it.
TEST(Directory, IgnoresCopiesOfAnUnknownDirectory)
{
    Directory receiver;
    receiver.replace(gateways(5));
    const auto applied = receiver.apply(Directory().copyFor(receiver.digest()));
    ASSERT_TRUE(applied.has_value());
    EXPECT_FALSE(*applied);
    EXPECT_EQ(receiver.gateways().size(), 5U);
}

// A gateway that asks two registries at once gets two replies based on its earlier version. Neither a reply
// with another base nor a damaged copy may change the current directory.
TEST(Directory, IgnoresOtherBasesAndRejectsDamagedCopies)
{
    Directory sender;
    sender.replace(gateways(5));
    const auto base = sender.digest();
    sender.replace(gateways(6));
    Directory receiver;
    receiver.replace(gateways(9));
    const auto applied = receiver.apply(sender.copyFor(base));
    ASSERT_TRUE(applied.has_value());
    EXPECT_FALSE(*applied);
    EXPECT_EQ(receiver.gateways().size(), 9U);
    update(receiver, sender);
    auto damaged = sender.copyFor(0);
    damaged.digest += 1;
    EXPECT_FALSE(receiver.apply(damaged).has_value());
    EXPECT_EQ(receiver.gateways().size(), 6U);
    update(receiver, sender);
}

// Changed shares are frequent: they must not count as changed gateways, and must travel as changes do.
TEST(Directory, TellsChangedCallerSharesFromChangedGateways)
{
    Directory sender;
    Directory receiver;
    EXPECT_EQ(sender.compare(gateways(50)), Directory::Change::Gateways);
    sender.replace(gateways(50));
    update(receiver, sender);
    EXPECT_EQ(sender.compare(gateways(50)), Directory::Change::None);
    auto hot = gateways(50);
    hot[7].callerShare = 9;
    EXPECT_EQ(sender.compare(hot), Directory::Change::CallerShares);
    EXPECT_TRUE(sender.replace(hot));
    update(receiver, sender);
    EXPECT_EQ(receiver.gateways()[7].callerShare, 9);
    EXPECT_EQ(sender.compare(gateways(50, 3)), Directory::Change::Gateways);
    EXPECT_EQ(sender.compare({}), Directory::Change::Gateways);
}
