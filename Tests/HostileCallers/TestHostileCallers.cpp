// Callers that nobody controls, at each door of the system: what they send must neither end a process nor
// take its memory or descriptors, and an ordinary request is still answered while they are there. The crowds
// are small, because the settings of the processes are.

#include "HostileCallers/Crowd.h"
#include "HostileCallers/Site.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace HostileCallers;

namespace {

/// One address of the system with a call that an ordinary caller makes there.
struct Door
{
    const char *name;
    int port;
    Sessions::Process &(Site::*process)();
    bool (Site::*start)();
    const char *bodyMethod; ///< Of requests with a body.
    const char *path; ///< Of the crowd.
    const char *answerPath; ///< With the largest answer.
    const char *ordinaryPath; ///< Of the ordinary request.
    std::size_t bodyBytes; ///< Largest legal body.
    std::size_t bodyClients;
    std::size_t pipelineClients;
    std::size_t pipelinedRequests;
};

/// What the clients of a crowd do at a door.
struct Form
{
    const char *name;
    Manner (*manner)(const Door &);
};

constexpr std::size_t Clients = 300;
/// By which unfinished bodies stop short of their end.
constexpr std::size_t Missing = 64;
constexpr std::size_t LegalHeadBytes = 16384;
constexpr std::size_t PieceBytes = 512;
constexpr std::chrono::milliseconds SlowPause {50};
/// A crowd is left to itself for the first time at least before the system is looked at, because what it has
/// sent takes time to answer, and for the second at most, because some crowds are never still.
constexpr std::chrono::seconds MinCrowdTime {1};
constexpr std::chrono::seconds MaxCrowdTime {3};

constexpr std::size_t SmallBody = 262144;
constexpr std::size_t OperatorBody = std::size_t {4} << 20;
constexpr std::size_t QueryBody = std::size_t {1} << 20;

std::string head(std::string_view method, std::string_view path)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: site.example\r\n", method, path);
}

Manner unfinishedBody(const Door &door, std::size_t pieceBytes)
{
    Manner manner;
    manner.clients = door.bodyClients;
    manner.bytes =
        fmt::format("{}Content-Length: {}\r\n\r\n", head(door.bodyMethod, door.path), door.bodyBytes);
    manner.bytes.append(door.bodyBytes - Missing, 'x');
    manner.pieceBytes = pieceBytes;
    return manner;
}

Manner bodyInOnePiece(const Door &door)
{
    return unfinishedBody(door, 0);
}

Manner bodyInSmallPieces(const Door &door)
{
    return unfinishedBody(door, PieceBytes);
}

Manner bodyInChunks(const Door &door)
{
    Manner manner;
    manner.clients = door.bodyClients;
    manner.bytes = head(door.bodyMethod, door.path) + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "40\r\n" + std::string(64, 'x') + "\r\n";
    for (std::size_t size = 0; size + 64 < door.bodyBytes; size += 64)
        manner.bytes += chunk;
    return manner;
}

Manner bodyOverTheLimit(const Door &door)
{
    Manner manner;
    manner.clients = door.bodyClients;
    manner.bytes =
        fmt::format("{}Content-Length: {}\r\n\r\n", head(door.bodyMethod, door.path), 16 * OperatorBody);
    manner.bytes.append(4 * door.bodyBytes, 'x');
    return manner;
}

Manner chunksOverTheLimit(const Door &door)
{
    Manner manner = bodyInChunks(door);
    const auto body = manner.bytes.substr(manner.bytes.find("\r\n\r\n") + 4);
    for (int times = 0; times < 3; ++times)
        manner.bytes += body;
    return manner;
}

/// The body of the request does not come, so that the head has to be kept.
Manner headOfFields(const Door &door, const std::string &field)
{
    Manner manner;
    manner.clients = Clients;
    manner.bytes = head(door.bodyMethod, door.path) + "Content-Length: 64\r\n";
    while (manner.bytes.size() + field.size() + 2 <= LegalHeadBytes)
        manner.bytes += field;
    manner.bytes += "\r\n";
    return manner;
}

Manner shortFields(const Door &door)
{
    return headOfFields(door, "a:b\r\n");
}

Manner emptyFields(const Door &door)
{
    return headOfFields(door, "a:\r\n");
}

Manner pipelined(const Door &door)
{
    Manner manner;
    manner.clients = door.pipelineClients;
    const auto request = head("GET", door.path) + "\r\n";
    for (std::size_t number = 0; number < door.pipelinedRequests; ++number)
        manner.bytes += request;
    return manner;
}

Manner stoppedHead(const Door &door)
{
    Manner manner;
    manner.clients = Clients;
    manner.bytes = head(door.bodyMethod, door.path);
    return manner;
}

Manner slowHead(const Door &door)
{
    Manner manner = stoppedHead(door);
    manner.bytes += "Name: " + std::string(LegalHeadBytes / 2, 'x');
    manner.pieceBytes = 1;
    manner.pause = SlowPause;
    return manner;
}

Manner slowBody(const Door &door)
{
    Manner manner = unfinishedBody(door, PieceBytes);
    manner.clients = Clients;
    manner.pause = SlowPause;
    return manner;
}

Manner slowReader(const Door &door)
{
    Manner manner;
    manner.clients = Clients;
    manner.bytes = head("GET", door.answerPath) + "\r\n";
    manner.readBytes = 16;
    manner.pause = SlowPause;
    return manner;
}

Manner idle(const Door &)
{
    Manner manner;
    manner.clients = Clients;
    return manner;
}

constexpr Form Forms[] {
    {"BodyInOnePiece", &bodyInOnePiece},
    {"BodyInSmallPieces", &bodyInSmallPieces},
    {"BodyInChunks", &bodyInChunks},
    {"BodyOverTheLimit", &bodyOverTheLimit},
    {"ChunksOverTheLimit", &chunksOverTheLimit},
    {"ShortFields", &shortFields},
    {"EmptyFields", &emptyFields},
    {"Pipelined", &pipelined},
    {"StoppedHead", &stoppedHead},
    {"SlowHead", &slowHead},
    {"SlowBody", &slowBody},
    {"SlowReader", &slowReader},
    {"Idle", &idle},
};

const Door Doors[] {
    {"Route", Site::CallerPort, &Site::gateway, &Site::startGateway, "POST", "/s/upload", "/s/large",
     "/s/ordinary", SmallBody, Clients, Clients, 4000},
    {"NoRoute", Site::CallerPort, &Site::gateway, &Site::startGateway, "POST", "/none", "/none",
     "/s/ordinary", SmallBody, Clients, Clients, 4000},
    {"Readiness", Site::ReadinessPort, &Site::gateway, &Site::startGateway, "POST", "/v1/readiness",
     "/v1/readiness", "/v1/readiness", SmallBody, Clients, Clients, 4000},
    {"Lookup", Site::LookupPort, &Site::gateway, &Site::startGateway, "POST", "/v1/lookup", "/v1/lookup",
     "/v1/lookup", SmallBody, Clients, Clients, 4000},
    {"Metrics", Site::MetricsPort, &Site::gateway, &Site::startGateway, "POST", "/metrics", "/metrics",
     "/metrics", SmallBody, Clients, 20, 2000},
    {"Operators", Site::OperatorPort, &Site::registry, &Site::startGateway, "PUT", "/v1/config", "/v1/config",
     "/v1/config", OperatorBody, 40, 50, 4000},
    {"OperatorsNoCall", Site::OperatorPort, &Site::registry, &Site::startGateway, "POST", "/none", "/none",
     "/v1/config", OperatorBody, 40, 50, 4000},
    {"RegistryMetrics", Site::RegistryMetricsPort, &Site::registry, &Site::startGateway, "POST", "/metrics",
     "/metrics", "/metrics", SmallBody, Clients, 20, 2000},
    {"OwnInterface", Site::EntryPort, &Site::entry, &Site::startEntry, "POST", "/v1/query", "/v1/status",
     "/v1/status", QueryBody, 150, 20, 1000},
};

/// Names for the messages of the test framework.
// NOLINTNEXTLINE(readability-identifier-naming): the framework's name.
void PrintTo(const Form &form, std::ostream *out)
{
    *out << form.name;
}

// NOLINTNEXTLINE(readability-identifier-naming): the framework's name.
void PrintTo(const Door &door, std::ostream *out)
{
    *out << door.name;
}

class HostileCallersTest : public ::testing::TestWithParam<std::tuple<Form, Door>>
{
};

} // namespace

TEST_P(HostileCallersTest, NeitherEndAProcessNorKeepOthersOut)
{
    const auto &form = std::get<0>(GetParam());
    const auto &door = std::get<1>(GetParam());
    Site site;
    ASSERT_TRUE((site.*door.start)());
    auto &process = (site.*door.process)();
    const auto address = site.address(door.port);
    std::size_t descriptors = 0;
    const Crowd crowd(address, form.manner(door));
    const auto start = std::chrono::steady_clock::now();
    std::chrono::nanoseconds passed {0};
    while (passed < MinCrowdTime || (!crowd.isStill() && passed < MaxCrowdTime)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        descriptors = std::max(descriptors, openDescriptors(process.id()));
        passed = std::chrono::steady_clock::now() - start;
    }
    EXPECT_TRUE(
        eventually([&] { return statusOf(address, head("GET", door.ordinaryPath) + "\r\n") == 200; }));
    EXPECT_TRUE(process.isRunning());
    const auto peak = peakMemoryBytes(process.id());
    fmt::print("peak of {} MB, {} descriptors\n", peak >> 20, descriptors);
    EXPECT_GT(peak, 0U);
    EXPECT_LE(peak, MemoryMegabytes << 20);
    EXPECT_LE(descriptors, MaxDescriptors);
}

INSTANTIATE_TEST_SUITE_P(Doors, HostileCallersTest,
                         ::testing::Combine(::testing::ValuesIn(Forms), ::testing::ValuesIn(Doors)),
                         [](const auto &instance) {
                             return fmt::format("{}At{}", std::get<0>(instance.param).name,
                                                std::get<1>(instance.param).name);
                         });
