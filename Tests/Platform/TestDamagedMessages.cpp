// Damaged input must give an error and never an exception, a crash or an endless loop: one such message would
// take a process down.

#include "LibBase/RandomSource.h"
#include "LibRegistry/Directory.h"
#include "LibRegistry/ServerListHolder.h"
#include "LibWire/AllowanceMessages.h"
#include "LibWire/Codec.h"
#include "LibWire/IntroduceMessages.h"
#include "LibWire/Packed.h"
#include "LibWire/RaftMessages.h"
#include "LibWire/RegistryMessages.h"
#include "platform/PlatformProtocol.h"

#include <functional>
#include <gtest/gtest.h>

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr int Mutations = 4000;

/// Flips, inserts, removes or repeats bytes, or cuts the text off.
std::string damaged(std::string text, Base::RandomSource &random)
{
    const auto changes = 1 + random.below(4);
    for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
        const auto at = random.below(text.size());
        const auto count = 1 + random.below(std::min<std::uint64_t>(16, text.size() - at));
        const auto piece = text.substr(at, count);
        switch (random.below(5)) {
        case 0:
            text[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.insert(at, 1, static_cast<char>(random.below(256)));
            break;
        case 2:
            text.erase(at, count);
            break;
        case 3:
            text.insert(at, piece);
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

void decodeDamaged(const std::string &proper, const std::function<void(const std::string &)> &decode)
{
    Base::RandomSource random(Seed);
    decode(proper);
    for (int count = 0; count < Mutations; ++count)
        EXPECT_NO_THROW(decode(damaged(proper, random)));
}

template<typename Message>
void decodeDamagedMessage(const Message &message)
{
    const auto bytes = Wire::encode(message);
    decodeDamaged(std::string(bytes.begin(), bytes.end()), [](const std::string &text) {
        (void)Wire::decode<Message>(Base::toBytes(text)); // The result may be anything but an exception.
    });
}

Wire::GatewayRecord gateway(const std::string &id)
{
    return {id, 7, "10.0.0.1:80", "dc-a", Wire::GatewayState::Serving, 0.3, true};
}

} // namespace

TEST(DamagedMessages, BetweenOwnProcesses)
{
    Wire::WatchRequest request;
    request.gateway = gateway("a");
    request.relayed = {{gateway("b"), 5}, {gateway("c"), 9}};
    request.confirmationAgeMs = 300;
    decodeDamagedMessage(request);
    Wire::WatchReply reply;
    reply.configurationText = "text";
    reply.registryAddresses = {"10.0.0.1:1", "10.0.0.2:1"};
    reply.confirmedBeforeMs = 80;
    reply.evacuationRevision = 9;
    reply.evacuatedDataCentres = {"dc-a", "dc-b"};
    decodeDamagedMessage(reply);
    Wire::RaftMessage raft;
    decodeDamagedMessage(raft);
    decodeDamagedMessage(Wire::JoinRequest {});
    decodeDamagedMessage(Wire::LeaveRequest {"a", 7});
    decodeDamagedMessage(Wire::LeaveReply {Wire::LeaveVerdict::Needed});
    decodeDamagedMessage(Wire::IntroduceNodeRequest {});
    decodeDamagedMessage(Wire::ConfirmConfigurationRequest {7});
    decodeDamagedMessage(Wire::ConfirmConfigurationReply {7, 80});
    decodeDamagedMessage(Wire::TakeAllowanceRequest {{{"Ta", 3, 4}, {"Sb", 1, 0}}});
    decodeDamagedMessage(Wire::TakeAllowanceReply {{{7, 300, 40, 500, 12.5}}, "10.0.0.1:7000"});
    decodeDamagedMessage(Wire::ChangeEvacuationRequest {"dc-a", true, 7});
    decodeDamagedMessage(Wire::ChangeEvacuationReply {7});
}

TEST(DamagedMessages, DirectoriesAndServerLists)
{
    Registry::Directory sender;
    sender.replace({gateway("a"), gateway("b"), gateway("c")});
    const auto copy = sender.copyFor(0);
    decodeDamaged(copy.packed, [&](const std::string &packed) {
        Registry::Directory receiver;
        auto received = copy;
        received.packed = packed;
        (void)receiver.apply(received); // As above.
    });
    const std::vector<Wire::ServerRecord> servers {
        {"id", 0, "s", "10.0.0.1:80", "dc-a", 2, Wire::ServerState::Ready, 0}};
    decodeDamaged(Wire::pack(servers), [](const std::string &packed) {
        (void)Registry::unpack({packed, 1, 0}); // As above.
    });
}

TEST(DamagedMessages, OfThePlatform)
{
    const Platform::PlatformProtocol protocol;
    const std::string configuration =
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","routeType":"safe","timeoutMs":1000,)"
        R"("gather":["s","t"],"topK":3,"minCoverage":0.5},{"name":"q","host":"h","pathPrefix":"/b/",)"
        R"("routeType":"unsafe","timeoutMs":10,"trafficSplit":[{"service":"s","weight":3}]}],)"
        R"("services":[{"name":"s","maxConnections":28,"warmupPerS":2},{"name":"t"}],)"
        R"("limits":{"maxHeaderBytes":16384},"tenants":[{"name":"x","apiKeys":["k1","k2"],"priority":1,)"
        R"("ratePerS":17,"burst":17},{"name":"y","apiKeys":[]}]})";
    const auto known = protocol.decodeConfiguration(configuration, nullptr);
    ASSERT_TRUE(known.has_value());
    decodeDamaged(configuration, [&](const std::string &text) {
        (void)protocol.decodeConfiguration(text, nullptr); // As above.
        (void)protocol.decodeConfiguration(text, &*known); // As above.
    });
    const std::string page =
        R"({"instances":[{"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":2,)"
        R"("state":"ready","warmupLeftMs":0,"id":"i-7f3a91c2","born":5}],"nextPageToken":"p-50"})";
    decodeDamaged(page, [&](const std::string &text) { (void)protocol.decodeServerPage(text); });
    decodeDamaged("3.25", [&](const std::string &text) { (void)protocol.decodePause(text); });
    decodeDamaged("/v1/evacuation/dc%2Da", [&](const std::string &path) {
        (void)protocol.classify("POST", path); // As above.
        EXPECT_LE(protocol.evacuatedDataCentre(path).size(), 64U);
    });
    decodeDamaged("1500", [&](const std::string &text) { (void)protocol.decodeWarmUp(text); });
    decodeDamaged("1", [&](const std::string &text) { (void)protocol.announcesLeaving(text); });
    decodeDamaged("3,0,8", [&](const std::string &text) { (void)protocol.decodeServerLoad(text); });
}
