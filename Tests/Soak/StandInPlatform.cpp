#include "Soak/StandInPlatform.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Soak {

namespace {

constexpr Base::Duration MinWork = Base::milliseconds(2);
constexpr std::uint64_t WorkSpreadUs = 8000;
/// Difference between the addresses that the list names and those of the servers.
constexpr int OuterOffset = 70;

std::unique_ptr<Edge::CallerServer> listen(Edge::Loop &loop, const std::string &address,
                                           Edge::CallerHandler handler)
{
    auto server = Edge::CallerServer::create(loop, address, std::move(handler));
    if (!server)
        throw std::runtime_error(server.error().detail);
    return std::move(*server);
}

} // namespace

StandInPlatform::StandInPlatform(Edge::Loop &loop, std::string network, std::uint64_t seed)
    : loop_(loop)
    , network_(std::move(network))
    , random_(seed)
{
    listServer_ = listen(loop_, listAddress(),
                         [this](const Edge::RequestMessage &, const Edge::CallerExchange &exchange) {
                             Edge::ResponseMessage response;
                             response.body = list();
                             exchange.respond(response);
                         });
    loop_.repeat(Base::milliseconds(1), [this] { sendDue(); });
}

StandInPlatform::~StandInPlatform() = default;

void StandInPlatform::addServer(const std::string &service)
{
    auto server = std::make_unique<Server>();
    server->id = fmt::format("i-{}", nextServer_);
    server->service = service;
    server->listedAddress = fmt::format("{}{}:19080", network_, nextServer_ + OuterOffset);
    server->address = fmt::format("{}{}:19080", network_, nextServer_++);
    auto *added = server.get();
    server->listener =
        listen(loop_, server->address,
               [this, added](const Edge::RequestMessage &request, const Edge::CallerExchange &exchange) {
                   serve(*added, request, exchange);
               });
    servers_.push_back(std::move(server));
}

std::vector<std::pair<std::string, std::string>> StandInPlatform::proxiedAddresses() const
{
    std::vector<std::pair<std::string, std::string>> addresses;
    for (const auto &server : servers_)
        addresses.emplace_back(server->listedAddress, server->address);
    return addresses;
}

void StandInPlatform::removeServer(std::size_t index)
{
    const auto id = servers_[index]->id;
    std::erase_if(delayed_, [&](const Delayed &delayed) { return delayed.serverId == id; });
    servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(index));
}

void StandInPlatform::setFaults(std::size_t index, const ServerFaults &faults)
{
    servers_[index]->faults = faults;
}

void StandInPlatform::clearFaults()
{
    for (auto &server : servers_)
        server->faults = {};
}

std::string StandInPlatform::bodyOf(const std::string &service, const std::string &requestId)
{
    std::string record = service + requestId;
    record.resize(16, '.');
    return record;
}

std::string StandInPlatform::proofOf(const std::string &service, const std::string &requestId)
{
    return service + "/" + requestId;
}

void StandInPlatform::serve(Server &server, const Edge::RequestMessage &request,
                            const Edge::CallerExchange &exchange)
{
    const std::string requestId(request.header("X-Daisyroute-Request-Id"));
    Edge::ResponseMessage response;
    response.headers.emplace_back("X-Daisyroute-Request-Id", requestId);
    if (request.header("X-Daisyroute-Target-Instance") != server.id) {
        response.status = 421;
        return exchange.respond(response);
    }
    if (server.faults.sheds) {
        response.status = 503;
        response.headers.emplace_back("X-Daisyroute-Not-Executed", "1");
        return exchange.respond(response);
    }
    auto &seen = seen_[requestId];
    seen.ranOn[server.service].insert(server.id);
    if (seen.target.empty()) {
        seen.target = request.target;
        seen.firstRanAt = clock_.now();
    }
    seen.tenants.emplace(request.header("X-Daisyroute-Tenant"));
    seen.cameWithKey = seen.cameWithKey || !request.header("X-Api-Key").empty();
    if (server.faults.loses)
        return;
    response.headers.emplace_back("X-Daisyroute-Server-Stamp", proofOf(server.service, requestId));
    response.body = bodyOf(server.service, requestId);
    if (server.faults.fails) {
        response.status = 500;
        response.body = "failed";
    }
    if (server.faults.foreign)
        response.headers[0].second = "another-request";
    const auto work = MinWork + Base::Duration(static_cast<Base::Duration::rep>(random_.below(WorkSpreadUs)));
    delayed_.push_back({clock_.now() + work, exchange, response, server.id});
}

void StandInPlatform::sendDue()
{
    const auto now = clock_.now();
    std::deque<Delayed> later;
    for (auto &delayed : std::exchange(delayed_, {})) {
        const auto server = std::find_if(servers_.begin(), servers_.end(), [&](const auto &candidate) {
            return candidate->id == delayed.serverId;
        });
        const bool paused = server != servers_.end() && (*server)->faults.paused;
        if (now >= delayed.due && !paused)
            delayed.exchange.respond(delayed.response);
        else
            later.push_back(std::move(delayed));
    }
    delayed_ = std::move(later);
}

std::string StandInPlatform::list() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &server : servers_)
        entries.push_back({{"id", server->id},
                           {"service", server->service},
                           {"address", server->listedAddress},
                           {"zone", "dc-a"},
                           {"version", "v1"},
                           {"slots", 4},
                           {"state", "ready"},
                           {"warmupLeftMs", 0}});
    return nlohmann::json({{"instances", entries}, {"nextPageToken", nullptr}}).dump();
}

} // namespace Soak
