#include "BackendStandIn/Fleet.h"

#include <algorithm>
#include <xxhash.h>

namespace StandIn {

namespace {

bool isSelected(const ServerSettings &settings, const nlohmann::json &selector)
{
    const auto matches = [&selector](const char *key, const std::string &value) {
        return !selector.contains(key) || selector[key] == value;
    };
    const bool shardMatches =
        !selector.contains("shard")
        || (selector["shard"].is_string() && settings.shards.count(selector["shard"].get<std::string>()) > 0);
    return matches("server", settings.id) && matches("index", settings.index) && shardMatches;
}

} // namespace

Fleet::Fleet(EventLoop &loop, std::uint64_t seed, Behaviour behaviour)
    : loop_(loop)
    , seed_(seed)
    , behaviour_(std::move(behaviour))
{
}

Base::Result<void> Fleet::addServer(const Configuration::Index &index,
                                    const Configuration::BackendServer &server)
{
    ServerSettings settings {
        server.id,         index.name, server.address, index.slotsPerServer, index.connectionsPerServer,
        index.connectTime, {}};
    for (const auto &shard : index.shards) {
        if (std::find(shard.serverIds.begin(), shard.serverIds.end(), server.id) != shard.serverIds.end())
            settings.shards.insert(shard.name);
    }
    const auto seed = XXH64(server.id.data(), server.id.size(), seed_);
    auto simulated = std::make_unique<SimulatedServer>(loop_, log_, std::move(settings), behaviour_, seed);
    auto started = simulated->start();
    if (started)
        servers_[server.id] = std::move(simulated);
    return started;
}

Base::Result<void> Fleet::add(const Configuration::Document &document)
{
    for (const auto &index : document.indexes) {
        for (const auto &server : index.servers) {
            if (servers_.find(server.id) != servers_.end())
                continue;
            if (auto added = addServer(index, server); !added)
                return added;
        }
    }
    return {};
}

Base::Result<std::size_t> Fleet::change(const nlohmann::json &selector, const nlohmann::json &changes)
{
    std::size_t count = 0;
    for (auto &[id, server] : servers_) {
        if (!isSelected(server->settings(), selector))
            continue;
        const auto behaviour = changed(server->behaviour(), changes);
        if (!behaviour)
            return tl::unexpected(behaviour.error());
        server->setBehaviour(*behaviour);
        ++count;
    }
    return count;
}

nlohmann::json Fleet::describeServers() const
{
    auto list = nlohmann::json::object();
    for (const auto &[id, server] : servers_) {
        const auto &settings = server->settings();
        list[id] = {{"index", settings.index},       {"shards", settings.shards},
                    {"slots", settings.slots},       {"connection_limit", settings.connectionLimit},
                    {"address", settings.address},   {"behaviour", server->behaviour()},
                    {"counters", server->counters()}};
    }
    return list;
}

nlohmann::json Fleet::summarize() const
{
    nlohmann::json totals = ServerCounters {};
    auto overSlots = nlohmann::json::array();
    auto overConnections = nlohmann::json::array();
    for (const auto &[id, server] : servers_) {
        const auto &counters = server->counters();
        const nlohmann::json fields = counters;
        for (const auto &[name, value] : fields.items())
            totals[name] = name.starts_with("peak") || name.starts_with("last")
                               ? std::max(totals[name], value)
                               : nlohmann::json(totals[name].get<double>() + value.get<double>());
        if (counters.peakRequests > server->settings().slots)
            overSlots.push_back(id);
        if (counters.peakConnections > server->settings().connectionLimit)
            overConnections.push_back(id);
    }
    return {{"totals", totals},
            {"over_slots", overSlots},
            {"over_connections", overConnections},
            {"repeated_non_idempotent", log_.repeated()}};
}

void Fleet::reset()
{
    log_.clear();
    for (auto &[id, server] : servers_)
        server->resetCounters();
}

} // namespace StandIn
