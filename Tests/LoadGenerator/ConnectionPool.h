#pragma once

#include "LibHttp/Client.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Load {

/// Idle connections by address, shared by all threads.
class ConnectionPool
{
public:
    Base::Result<std::unique_ptr<Http::Client>> take(const std::string &address, Base::Duration timeout);

    /// Closes the idle connections to an address that failed.
    void drop(const std::string &address);

    /// Keeps the connection for the next request when it is still usable.
    void give(const std::string &address, std::unique_ptr<Http::Client> client);

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<std::unique_ptr<Http::Client>>> idle_;
};

} // namespace Load
