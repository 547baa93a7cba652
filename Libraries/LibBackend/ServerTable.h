#pragma once

#include "LibBackend/Server.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Backend {

/// Owned servers by id, in a fixed order so that runs are reproducible.
class ServerTable
{
public:
    using Map = std::map<std::string, std::unique_ptr<Server>, std::less<>>;

    Server *find(std::string_view serverId)
    {
        const auto found = servers_.find(serverId);
        return found == servers_.end() ? nullptr : found->second.get();
    }

    Server &insert(std::unique_ptr<Server> server)
    {
        auto &slot = servers_[server->serverId];
        slot = std::move(server);
        return *slot;
    }

    void erase(std::string_view serverId)
    {
        const auto found = servers_.find(serverId);
        if (found != servers_.end())
            servers_.erase(found);
    }

    const Map &all() const { return servers_; }

private:
    Map servers_;
};

} // namespace Backend
