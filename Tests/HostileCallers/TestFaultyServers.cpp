// Backend servers that send without end where an answer is due. A machine of another system kept all of it
// and ran out of memory, and the requests of other callers ended with its process.

#include "HostileCallers/Crowd.h"
#include "HostileCallers/Site.h"

#include <array>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/resource.h>

using namespace HostileCallers;

namespace {

struct Place
{
    const char *name;
    const char *start;
    const char *filler;
};

/// How fast a stream comes: as fast as it is taken, or just below the limits and then slowly.
struct Pace
{
    const char *name;
    std::size_t burstBytes;
    std::chrono::milliseconds pause;
};

struct Path
{
    const char *name;
    const char *path;
};

constexpr std::size_t Clients = 100;
constexpr std::size_t RequestsOfAClient = 100;
constexpr std::chrono::seconds StreamTime {2};

/// Streams without an end of a line, a head or an answer.
constexpr std::array LinePlaces {
    Place {"NoHead", "", "xxxxxxxx"},
    Place {"EmptyLines", "", "\r\n"},
    Place {"StatusLine", "HTTP/1.1 200 ", "xxxxxxxx"},
    Place {"OneField", "HTTP/1.1 200 OK\r\nName: ", "xxxxxxxx"},
    Place {"ShortFields", "HTTP/1.1 200 OK\r\n", "a:\r\n"},
    Place {"ChunkExtension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "xxxxxxxx"},
    Place {"Trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n"},
    Place {"InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    Place {"InterimFields", "HTTP/1.1 100 Continue\r\n", "a:\r\n"},
    Place {"ForeignAnswers", "",
           "HTTP/1.1 200 OK\r\nX-Daisyroute-Request-Id: other\r\nContent-Length: 0\r\n\r\n"},
};

/// Streams without an end of a body.
constexpr std::array BodyPlaces {
    Place {"Body", "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxx"},
    Place {"LongBody", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "xxxxxxxx"},
    Place {"Chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
    Place {"LongChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "xxxxxxxx"},
};

/// The slow ones stop just below the limit of a head and of a body.
constexpr std::array LinePaces {
    Pace {"Fast", 0, std::chrono::milliseconds(0)},
    Pace {"Slow", 60'000, std::chrono::milliseconds(200)},
};
constexpr std::array BodyPaces {
    Pace {"Fast", 0, std::chrono::milliseconds(0)},
    Pace {"Slow", 60'000, std::chrono::milliseconds(200)},
    Pace {"SlowAfterMuch", 7'500'000, std::chrono::milliseconds(200)},
};

constexpr std::array Paths {Path {"Route", "/f/x"}, Path {"Gather", "/g/x"}};

class FaultyServersTest : public ::testing::TestWithParam<std::tuple<Place, Pace, Path>>
{
};

/// The platform refuses further descriptors, as it does where the settings state a limit.
void limitDescriptors(pid_t process)
{
    const rlimit limit {MaxDescriptors, MaxDescriptors};
    ASSERT_EQ(::prlimit(process, RLIMIT_NOFILE, &limit, nullptr), 0);
}

/// Each client sends its requests ahead and reads the answers.
Manner requests(const char *path)
{
    Manner manner;
    manner.clients = Clients;
    for (std::size_t number = 0; number < RequestsOfAClient; ++number)
        manner.bytes += fmt::format("GET {} HTTP/1.1\r\nHost: site.example\r\n"
                                    "X-Daisyroute-Request-Id: {}\r\n\r\n",
                                    path, number);
    manner.pause = std::chrono::milliseconds(5);
    manner.readBytes = 4096;
    return manner;
}

std::string nameOf(const ::testing::TestParamInfo<FaultyServersTest::ParamType> &instance)
{
    const auto &[place, pace, path] = instance.param;
    return fmt::format("{}{}At{}", place.name, pace.name, path.name);
}

} // namespace

TEST_P(FaultyServersTest, NeitherEndAProcessNorKeepCallersOut)
{
    const auto &[place, pace, path] = GetParam();
    Site site;
    auto &servers = site.addFaultyServers();
    servers.setStream({place.start, place.filler, pace.burstBytes, pace.pause});
    ASSERT_TRUE(site.startGateway());
    auto &gateway = site.gateway();
    limitDescriptors(gateway.id());
    const Crowd crowd(site.address(Site::CallerPort), requests(path.path));
    std::this_thread::sleep_for(StreamTime);
    EXPECT_TRUE(eventually([&] {
        return statusOf(site.address(Site::CallerPort),
                        "GET /s/ordinary HTTP/1.1\r\nHost: site.example\r\n\r\n")
               == 200;
    }));
    EXPECT_TRUE(gateway.isRunning());
    const auto peak = peakMemoryBytes(gateway.id());
    fmt::print("peak of {} MB, {} MB sent\n", peak >> 20, servers.sentBytes() >> 20);
    EXPECT_GT(servers.sentBytes(), 0U);
    EXPECT_GT(peak, 0U);
    EXPECT_LE(peak, MemoryMegabytes << 20);
}

INSTANTIATE_TEST_SUITE_P(Lines, FaultyServersTest,
                         ::testing::Combine(::testing::ValuesIn(LinePlaces), ::testing::ValuesIn(LinePaces),
                                            ::testing::ValuesIn(Paths)),
                         nameOf);
INSTANTIATE_TEST_SUITE_P(Bodies, FaultyServersTest,
                         ::testing::Combine(::testing::ValuesIn(BodyPlaces), ::testing::ValuesIn(BodyPaces),
                                            ::testing::ValuesIn(Paths)),
                         nameOf);
