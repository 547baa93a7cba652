#include "LibControl/ControlState.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace Control;

constexpr int ChangeCount = 500;

std::string randomName(const char *prefix, int bound)
{
    return prefix + std::to_string(*rc::gen::inRange(0, bound));
}

std::uint64_t randomNumber(int bound)
{
    return static_cast<std::uint64_t>(*rc::gen::inRange(0, bound));
}

/// Draws any command; the ranges are small so that most of them refer to existing objects.
Command drawCommand(std::uint64_t index)
{
    const auto entry = randomName("e", 4);
    const auto server = randomName("s", 6);
    const auto wall = static_cast<std::int64_t>(index) * 3'600'000;
    switch (*rc::gen::inRange(0, 11)) {
    case 0:
        return StoreDocument {randomName("hash", 5), "text"};
    case 1:
        return ProposePromotion {randomName("hash", 5), randomNumber(20), randomName("change", 40)};
    case 2:
        return AcceptPromotion {randomNumber(60)};
    case 3:
        return AbortPromotion {randomNumber(60), "reason"};
    case 4:
        return RegisterEntry {{entry, randomNumber(3), "dc", "a", "p", Wire::EntryState::Serving}};
    case 5:
        return RemoveEntry {entry, randomNumber(3)};
    case 6:
        return AssignShares {{{server, entry}, {randomName("s", 6), randomName("e", 4)}}};
    case 7:
        return RequestReleases {{{server, randomNumber(ChangeCount)}}};
    case 8:
        return ReleaseShares {entry, randomNumber(3), {{server, randomNumber(ChangeCount)}}};
    case 9:
        return ClaimRequest {
            {randomName("r", 9), randomName("d", 2), entry, randomNumber(3), wall - 1000, randomNumber(3)},
            wall};
    default:
        return RecordOutcome {{randomName("r", 9),
                               entry,
                               randomNumber(3),
                               randomNumber(2) == 0,
                               {200, "ok"},
                               randomNumber(ChangeCount)}};
    }
}

} // namespace

// A node that restarts from a snapshot must reach the state of one that replays the whole log, or the two
// would give different replies from then on. Each command passes through its log encoding.
RC_GTEST_PROP(ControlState, RestoreEqualsReplay, ())
{
    ControlState replayed;
    ControlState restored;
    const auto snapshotAt = randomNumber(ChangeCount);
    std::uint64_t accepted = 0;
    for (std::uint64_t index = 1; index <= ChangeCount; ++index) {
        const auto command = decodeCommand(encodeCommand(drawCommand(index)));
        RC_ASSERT(command.has_value());
        const auto first = replayed.apply(index, *command);
        if (index <= snapshotAt) {
            if (index == snapshotAt)
                RC_ASSERT(restored.restore(replayed.snapshot()).has_value());
            continue;
        }
        if (snapshotAt > 0) {
            const auto second = restored.apply(index, *command);
            RC_ASSERT(first.has_value() == second.has_value());
        }
        RC_ASSERT(replayed.content().accepted.revision >= accepted);
        accepted = replayed.content().accepted.revision;
    }
    if (snapshotAt > 0)
        RC_ASSERT(restored.snapshot() == replayed.snapshot());
}

// A late plan must not take a server from its owner, even if the planner's input was outdated.
TEST(ControlState, AssignmentKeepsExistingOwner)
{
    ControlState state;
    (void)state.apply(1, RegisterEntry {{"e1", 1, "dc", "a", "p", Wire::EntryState::Serving}});
    (void)state.apply(2, RegisterEntry {{"e2", 1, "dc", "a", "p", Wire::EntryState::Serving}});
    (void)state.apply(3, AssignShares {{{"s1", "e1"}}});
    (void)state.apply(4, AssignShares {{{"s1", "e2"}}});
    EXPECT_EQ(state.content().shares.at("s1"), (Wire::ShareRecord {"s1", "e1", 3, false}));
    (void)state.apply(5, ReleaseShares {"e1", 1, {{"s1", 2}}});
    EXPECT_TRUE(state.content().shares.contains("s1"));
    (void)state.apply(6, ReleaseShares {"e1", 1, {{"s1", 3}}});
    EXPECT_FALSE(state.content().shares.contains("s1"));
}

// A damaged snapshot or an unknown command must be reported, never applied in part.
TEST(ControlState, RefusesDamagedInput)
{
    ControlState state;
    auto snapshot = state.snapshot();
    snapshot.pop_back();
    EXPECT_EQ(state.restore(snapshot).error().kind, Base::ErrorKind::CorruptData);
    EXPECT_FALSE(decodeCommand({}).has_value());
    EXPECT_FALSE(decodeCommand(Base::Bytes {200, 1}).has_value());
}

// The snapshot must stay bounded, and the documents in use must survive the clean-up.
TEST(ControlState, KeepsReferencedDocuments)
{
    ControlState state;
    std::uint64_t index = 0;
    (void)state.apply(++index, StoreDocument {"first", "text"});
    (void)state.apply(++index, ProposePromotion {"first", 0, "change"});
    (void)state.apply(++index, AcceptPromotion {1});
    for (int i = 0; i < 200; ++i)
        (void)state.apply(++index, StoreDocument {"hash" + std::to_string(i), "text"});
    EXPECT_EQ(state.content().documents.size(), ControlState::MaxDocuments);
    EXPECT_NE(state.findDocument("first"), nullptr);
    EXPECT_NE(state.findDocument("hash199"), nullptr);
    EXPECT_EQ(state.findDocument("hash0"), nullptr);
}
