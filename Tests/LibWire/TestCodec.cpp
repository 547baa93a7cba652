#include "LibWire/ClaimMessages.h"
#include "LibWire/LeaseMessages.h"
#include "LibWire/RaftMessages.h"
#include "LibWire/RegistryMessages.h"
#include "LibWire/SubrequestMessages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

/// What a gateway told of itself before there were caller shares.
struct RecordWithoutShare
{
    std::string gatewayId;
    std::uint64_t incarnation = 0;
    std::string callerAddress;
    std::string dataCentre;
    Wire::GatewayState state = Wire::GatewayState::Joining;
    double processorShare = 1.0;
    bool suitsGathers = false;

    MSGPACK_DEFINE(gatewayId, incarnation, callerAddress, dataCentre, state, processorShare, suitsGathers)
};

} // namespace

// A field left out of MSGPACK_DEFINE would silently arrive as its default.
TEST(Codec, RoundTripsLeaseRenewal)
{
    Wire::RenewLeaseRequest request;
    request.entry.entryId = "entry-1";
    request.entry.state = Wire::EntryState::Leaving;
    request.stagedRevision = 7;
    request.releasedShares = {{"server-1", 4}};
    request.finished = true;
    const auto decoded = Wire::decode<Wire::RenewLeaseRequest>(Wire::encode(request));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->entry, request.entry);
    EXPECT_EQ(decoded->stagedRevision, 7U);
    ASSERT_EQ(decoded->releasedShares.size(), 1U);
    EXPECT_EQ(decoded->releasedShares[0].epoch, 4U);
    EXPECT_TRUE(decoded->finished);
}

// Input from a faulty peer must end as an error and never as a crash or a partly decoded message.
RC_GTEST_PROP(Codec, RejectsArbitraryInput, (const std::vector<std::uint8_t> &input))
{
    (void)Wire::decode<Wire::RaftMessage>(input);
    (void)Wire::decode<Wire::ExecuteSubrequestRequest>(input);
    (void)Wire::decode<Wire::ClaimRequestReply>(input);
    (void)Wire::decode<Wire::RenewLeaseReply>(input);
}

// Room for the declared elements of a list was made before they were read: 160 bytes took 768 MB.
TEST(Codec, RefusesListsThatTheMessageCannotHold)
{
    std::vector<std::uint8_t> nested;
    for (int level = 0; level < 30; ++level) {
        for (const std::uint8_t byte : {0xdd, 0x00, 0x0f, 0xff, 0xff}) // A list of 1,048,575 elements.
            nested.push_back(byte);
    }
    EXPECT_FALSE(Wire::decode<Wire::RaftMembership>(nested).has_value());
    std::vector<std::uint8_t> many {0x91, 0xdd, 0x00, 0x7f, 0xff, 0x00};
    many.resize(many.size() + 0x7fff00, 0xc0);
    EXPECT_FALSE(Wire::decode<Wire::RaftMembership>(many).has_value());
}

// A truncated message must not decode.
RC_GTEST_PROP(Codec, RejectsTruncatedMessages, (const std::string &id, std::uint64_t epoch))
{
    Wire::ReleasedShare share {id, epoch};
    auto encoded = Wire::encode(share);
    encoded.pop_back();
    RC_ASSERT(!Wire::decode<Wire::ReleasedShare>(encoded).has_value());
}

// Without a reduced share, messages and the digests of directories are byte for byte those of before.
TEST(Codec, FullCallerShareTakesNoByteAndAReducedOneTakesOne)
{
    const RecordWithoutShare before {"vm-1", 7,   "10.0.0.1:80", "dc-a", Wire::GatewayState::Serving,
                                     0.3,    true};
    Wire::GatewayRecord record {"vm-1", 7, "10.0.0.1:80", "dc-a", Wire::GatewayState::Serving, 0.3, true};
    EXPECT_EQ(Wire::encode(record), Wire::encode(before));
    const auto decoded = Wire::decode<Wire::GatewayRecord>(Wire::encode(before));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(*decoded, record);

    record.callerShare = 5;
    const auto reduced = Wire::encode(record);
    EXPECT_EQ(reduced.size(), Wire::encode(before).size() + 1);
    const auto decodedReduced = Wire::decode<Wire::GatewayRecord>(reduced);
    ASSERT_TRUE(decodedReduced.has_value());
    EXPECT_EQ(*decodedReduced, record);
    EXPECT_TRUE(Wire::decode<RecordWithoutShare>(reduced).has_value());
}
