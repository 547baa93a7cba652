#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace Query {

/// Instants at which queries must be re-examined. Timers are not cancelled; an extra wake-up is harmless.
class TimerQueue
{
public:
    void schedule(Base::Instant due, std::uint64_t queryId) { timers_.emplace(due, queryId); }

    std::optional<Base::Instant> next() const
    {
        return timers_.empty() ? std::nullopt : std::optional(timers_.top().first);
    }

    /// Removes and returns the query of the earliest timer that is due, with all identical timers: the shards
    /// of a query are often due together.
    std::optional<std::uint64_t> popDue(Base::Instant now)
    {
        if (timers_.empty() || timers_.top().first > now)
            return std::nullopt;
        const auto timer = timers_.top();
        while (!timers_.empty() && timers_.top() == timer)
            timers_.pop();
        return timer.second;
    }

private:
    using Timer = std::pair<Base::Instant, std::uint64_t>;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
};

} // namespace Query
