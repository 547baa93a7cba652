#include "LoadGenerator/ConnectionPool.h"

namespace Load {

Base::Result<std::unique_ptr<Http::Client>> ConnectionPool::take(const std::string &address,
                                                                 Base::Duration timeout)
{
    {
        const std::lock_guard lock(mutex_);
        auto &clients = idle_[address];
        while (!clients.empty()) {
            auto client = std::move(clients.back());
            clients.pop_back();
            if (client->isUsable())
                return client;
        }
    }
    return Http::Client::connect(address, timeout);
}

void ConnectionPool::drop(const std::string &address)
{
    const std::lock_guard lock(mutex_);
    idle_.erase(address);
}

void ConnectionPool::give(const std::string &address, std::unique_ptr<Http::Client> client)
{
    if (!client->isUsable())
        return;
    const std::lock_guard lock(mutex_);
    idle_[address].push_back(std::move(client));
}

} // namespace Load
