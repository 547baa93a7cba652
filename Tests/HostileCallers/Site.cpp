#include "HostileCallers/Site.h"

#include "HostileCallers/Crowd.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace HostileCallers {

namespace {

constexpr int PeerPort = 19380;
constexpr int FaultyServerCount = 4;
constexpr std::chrono::seconds Patience {20};
constexpr std::chrono::milliseconds RetryPause {100};
/// Answer of the backend server at paths that end in "large".
constexpr std::size_t LargeAnswerBytes = std::size_t {512} * 1024;

constexpr std::string_view Configuration = R"({"version": 1,
"routes": [{"name": "safe", "host": "site.example", "pathPrefix": "/s/", "routeType": "safe",
            "timeoutMs": 5000, "targetLatencyMs": 1000, "attempts": 2, "service": "plain"},
           {"name": "faulty", "host": "site.example", "pathPrefix": "/f/", "routeType": "safe",
            "timeoutMs": 5000, "targetLatencyMs": 1000, "attempts": 1, "service": "faulty"},
           {"name": "gather", "host": "site.example", "pathPrefix": "/g/", "routeType": "safe",
            "timeoutMs": 5000, "targetLatencyMs": 1000, "attempts": 1, "gather": ["plain", "faulty"],
            "topK": 10, "minCoverage": 0.5}],
"services": [{"name": "plain", "maxConnections": 64}, {"name": "faulty", "maxConnections": 200}]})";

std::string networkOfThisProcess()
{
    const auto id = ::getpid();
    return fmt::format("127.{}.{}.", 64 + id / 251 % 128, 1 + id % 251);
}

std::unique_ptr<Edge::CallerServer> serve(Edge::Loop &loop, const std::string &address,
                                          Edge::CallerHandler handler)
{
    auto server = Edge::CallerServer::create(loop, address, std::move(handler));
    if (!server)
        throw std::runtime_error(server.error().detail);
    return std::move(*server);
}

void answerAsServer(const Edge::RequestMessage &request, const Edge::CallerExchange &exchange)
{
    Edge::ResponseMessage response;
    response.headers.emplace_back("X-Daisyroute-Request-Id", request.header("X-Daisyroute-Request-Id"));
    response.headers.emplace_back("X-Daisyroute-Server-Stamp", "stamp");
    response.body.assign(request.path().ends_with("large") ? LargeAnswerBytes : 16, '.');
    exchange.respond(response);
}

} // namespace

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + Patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(RetryPause);
    }
    return true;
}

Site::Site()
    : network_(networkOfThisProcess())
    , directory_(fmt::format("{}/daisyroute-hostile-{}", std::filesystem::temp_directory_path().string(),
                             ::getpid()))
{
    std::filesystem::create_directories(directory_ + "/disk");
    listen();
    thread_ = std::thread([this] { loop_.run(); });
}

Site::~Site()
{
    gateway_.reset();
    registry_.reset();
    entry_.reset();
    loop_.stop();
    thread_.join();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

std::string Site::address(int port) const
{
    return fmt::format("{}1:{}", network_, port);
}

void Site::listen()
{
    const auto serverAddress = network_ + "2:19080";
    server_ = serve(loop_, serverAddress, &answerAsServer);
    addInstance("plain", serverAddress);
    list_ = serve(loop_, network_ + "3:19002",
                  [this](const Edge::RequestMessage &, const Edge::CallerExchange &exchange) {
                      Edge::ResponseMessage response;
                      response.body = fmt::format(R"({{"instances": [{}], "nextPageToken": null}})",
                                                  fmt::join(instances_, ", "));
                      exchange.respond(response);
                  });
}

void Site::addInstance(const std::string &service, const std::string &address)
{
    instances_.push_back(
        fmt::format(R"({{"id": "i-{}", "service": "{}", "address": "{}", "zone": "dc-a", "version": "v1",
                         "slots": 64, "state": "ready", "warmupLeftMs": 0}})",
                    instances_.size() + 1, service, address));
}

FaultyServers &Site::addFaultyServers()
{
    std::vector<std::string> addresses;
    for (int host = 4; host < 4 + FaultyServerCount; ++host)
        addresses.push_back(fmt::format("{}{}:19080", network_, host));
    for (const auto &address : addresses)
        addInstance("faulty", address);
    faultyServers_ = std::make_unique<FaultyServers>(addresses);
    return *faultyServers_;
}

std::unique_ptr<Sessions::Process> Site::start(const std::string &role, int metricsPort) const
{
    return std::make_unique<Sessions::Process>(
        std::vector<std::string> {"daisyroute", role, fmt::format("--config={}/vm.toml", directory_),
                                  fmt::format("--metrics-port={}", metricsPort)},
        fmt::format("{}/{}.log", directory_, role));
}

bool Site::startGateway()
{
    std::ofstream(directory_ + "/vm.toml")
        << fmt::format(R"(node = "vm-1"
data_centre = "dc-a"
ip = "{0}1"
caller_address = "{1}"
readiness_address = "{2}"
lookup_address = "{3}"
operator_address = "{4}"
first_peer_port = {5}
cluster_key = "hostile"
seeds = "{4}"
first_start = true
data_directory = "{6}/disk"
server_list_address = "{0}3:19002"
server_list_calls_per_second = 20.0
lost_vms_tolerated = 0
memory_megabytes = {7}
max_descriptors = {8}
)",
                       network_, address(CallerPort), address(ReadinessPort), address(LookupPort),
                       address(OperatorPort), PeerPort, directory_, MemoryMegabytes, MaxDescriptors);
    registry_ = start("registry", RegistryMetricsPort);
    gateway_ = start("gateway", MetricsPort);
    return eventually([this] { return submitConfiguration(); }) && eventually([this] {
               return statusOf(address(CallerPort), "GET /s/first HTTP/1.1\r\nHost: site.example\r\n\r\n")
                      == 200;
           });
}

bool Site::submitConfiguration() const
{
    return statusOf(address(OperatorPort),
                    fmt::format("PUT /v1/config HTTP/1.1\r\nHost: registry\r\nContent-Length: {}\r\n\r\n{}",
                                Configuration.size(), Configuration))
           == 200;
}

bool Site::startEntry()
{
    std::ofstream(directory_ + "/key") << "a key that only this test uses\n";
    entry_ = std::make_unique<Sessions::Process>(
        std::vector<std::string> {
            "daisyroute", "entry", "--entry-id=entry", "--data-centre=dc-a", "--environment=hostile",
            "--http-address=" + address(EntryPort), "--peer-address=" + address(PeerPort + 1),
            "--control-addresses=" + address(PeerPort + 2), fmt::format("--key-file={}/key", directory_),
            fmt::format("--memory-megabytes={}", MemoryMegabytes)},
        directory_ + "/entry.log");
    return eventually(
        [this] { return statusOf(address(EntryPort), "GET /v1/status HTTP/1.1\r\nHost: e\r\n\r\n") == 200; });
}

std::size_t peakMemoryBytes(pid_t process)
{
    std::ifstream status(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find(':') + 1)) * 1024;
    }
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code gone;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry(fmt::format("/proc/{}/fd", process), gone), end;
         !gone && entry != end; entry.increment(gone))
        ++count;
    return count;
}

} // namespace HostileCallers
