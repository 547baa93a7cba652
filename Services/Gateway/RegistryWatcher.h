#pragma once

#include "LibBase/Clock.h"
#include "LibBase/EventLog.h"
#include "LibEdge/Loop.h"
#include "LibPeer/Endpoint.h"
#include "LibWire/RegistryMessages.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Services {

/// Keeps a gateway up to date: one open call to one registry, which answers when something changes. Another
/// registry is asked when that one is silent or has lost its own leader.
class RegistryWatcher
{
public:
    /// Returns what the gateway holds now.
    using MakeRequest = std::function<Wire::WatchRequest()>;
    /// Receives each reply with the round trip's age in it; `fresh` when the registry hears its leader.
    using TakeReply = std::function<void(const Wire::WatchReply &reply, bool fresh)>;

    RegistryWatcher(Edge::Loop &loop, Peer::Endpoint &endpoint, Base::EventLog &events, MakeRequest makeRequest,
                    TakeReply takeReply);

    /// Adds addresses to those known; none is forgotten, because an old one may be the only one reachable.
    void addRegistries(const std::vector<std::string> &addresses);
    void start();
    /// Reports a change of this gateway without waiting for the open call.
    void reportNow();
    bool isConnected() const { return connected_; }

private:
    void call();
    void finish(std::uint64_t sequence, const Base::Result<Base::Bytes> &payload);
    void callLater();
    void noteConnected(bool connected, const std::string &detail);

    Edge::Loop &loop_;
    Peer::Endpoint &endpoint_;
    Base::EventLog &events_;
    MakeRequest makeRequest_;
    TakeReply takeReply_;
    Base::SystemClock clock_;
    std::set<std::string> registries_;
    std::string target_;
    std::uint64_t sequence_ = 0; ///< Of the latest call; replies to earlier ones are dropped.
    Peer::CallId openCall_ = 0;
    std::uint32_t failuresInRow_ = 0;
    Base::Instant retryAt_;
    bool retryPending_ = false;
    bool connected_ = false;
    bool everConnected_ = false;
};

} // namespace Services
