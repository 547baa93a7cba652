#pragma once

#include "BackendStandIn/SimulatedServer.h"
#include "LibConfiguration/Document.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace StandIn {

/// All simulated servers of one process.
class Fleet
{
public:
    Fleet(EventLoop &loop, std::uint64_t seed, Behaviour behaviour);

    /// Adds the servers of a document; those that exist already keep running unchanged.
    Base::Result<void> add(const Configuration::Document &document);

    /// Changes the behaviour of the servers that `selector` names by "server", "index" or "shard"; all
    /// without a name. Returns how many.
    Base::Result<std::size_t> change(const nlohmann::json &selector, const nlohmann::json &changes);

    /// Counters, settings and behaviour per server id.
    nlohmann::json describeServers() const;

    /// Totals, and the servers whose limits were exceeded.
    nlohmann::json summarize() const;

    void reset();
    const ExecutionLog &log() const { return log_; }

private:
    Base::Result<void> addServer(const Configuration::Index &index,
                                 const Configuration::BackendServer &server);

    EventLoop &loop_;
    std::uint64_t seed_;
    Behaviour behaviour_;
    ExecutionLog log_;
    std::map<std::string, std::unique_ptr<SimulatedServer>> servers_;
};

} // namespace StandIn
