#pragma once

#include "LibForward/ForwardCore.h"

#include <deque>
#include <map>
#include <vector>

namespace Tests {

/// Simulated backend servers that run as many attempts as they have slots and queue the others in FIFO order.
class QueueingServers
{
public:
    explicit QueueingServers(Base::Duration serviceTime)
        : serviceTime_(serviceTime)
    {
    }

    void take(Base::Instant now, const Forward::SendAttempt &send)
    {
        auto &server = servers_[send.backend];
        server.waiting.push_back(send.attempt);
        startWaiting(now, *send.backend, server);
    }

    /// Returns the attempts that have ended.
    std::vector<Forward::AttemptId> finish(Base::Instant now)
    {
        std::vector<Forward::AttemptId> ended;
        for (auto &[backend, server] : servers_) {
            while (!server.running.empty() && server.running.front().second <= now) {
                ended.push_back(server.running.front().first);
                server.running.pop_front();
            }
            startWaiting(now, *backend, server);
        }
        return ended;
    }

private:
    struct Server
    {
        std::deque<Forward::AttemptId> waiting;
        std::deque<std::pair<Forward::AttemptId, Base::Instant>>
            running; ///< With their end times, earliest first.
    };

    void startWaiting(Base::Instant now, const Forward::Backend &backend, Server &server) const
    {
        while (!server.waiting.empty() && server.running.size() < backend.record.slots) {
            server.running.emplace_back(server.waiting.front(), now + serviceTime_);
            server.waiting.pop_front();
        }
    }

    Base::Duration serviceTime_;
    std::map<Forward::BackendPointer, Server> servers_;
};

} // namespace Tests
