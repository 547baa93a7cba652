#pragma once

#include "LibBase/RandomSource.h"
#include "LibForward/ForwardCore.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace Tests {

/// Simulated servers of different speeds that slow down before their slots are full: each attempt is worked
/// on at a rate that falls with the number running. Beyond their slots attempts wait.
class SlowingServers
{
public:
    struct Nature
    {
        double slowness = 1.0; ///< Of one attempt alone.
        double slowsAbove = 1e9; ///< Attempts running from which on all take longer.
        double exponent = 1.0; ///< 1: the throughput stays; above: it falls.
        Base::Instant pausedUntil;
    };

    explicit SlowingServers(Base::Duration serviceTime)
        : serviceMs_(Base::toMilliseconds(serviceTime))
    {
    }

    Nature &nature(const std::string &server) { return natures_[server]; }

    /// `key` tells the attempts of several gateways apart.
    void take(const Forward::SendAttempt &send, std::uint64_t key)
    {
        // A third of the mean as deviation, as of usual services.
        const auto spread = 1.0 + 0.58 * (2.0 * random_.unit() - 1.0);
        work_[send.backend->record.id].push_back({key, serviceMs_ * spread, send.backend->record.slots});
    }

    /// Works for `step` and returns the keys of the attempts that have ended.
    std::vector<std::uint64_t> run(Base::Instant now, Base::Duration step)
    {
        std::vector<std::uint64_t> ended;
        for (auto &[server, attempts] : work_) {
            const auto &nature = natures_[server];
            if (attempts.empty() || now < nature.pausedUntil)
                continue;
            const auto running = std::min<std::size_t>(attempts.size(), attempts.front().slots);
            mostRunning_[server] = std::max(mostRunning_[server], running);
            const auto load = std::max(1.0, static_cast<double>(running) / nature.slowsAbove);
            const auto done = Base::toMilliseconds(step) / nature.slowness / std::pow(load, nature.exponent);
            for (std::size_t index = 0; index < running; ++index) {
                attempts[index].leftMs -= done;
                if (attempts[index].leftMs <= 0.0)
                    ended.push_back(attempts[index].key);
            }
            std::erase_if(attempts, [](const Work &work) { return work.leftMs <= 0.0; });
        }
        return ended;
    }

    std::size_t mostRunning(const std::string &server) { return std::exchange(mostRunning_[server], 0); }

private:
    struct Work
    {
        std::uint64_t key = 0;
        double leftMs = 0.0;
        std::uint32_t slots = 1;
    };

    double serviceMs_;
    std::map<std::string, Nature> natures_;
    std::map<std::string, std::vector<Work>> work_;
    std::map<std::string, std::size_t> mostRunning_;
    Base::RandomSource random_ {11};
};

} // namespace Tests
