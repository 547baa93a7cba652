#pragma once

#include "LoadGenerator/ArrivalSchedule.h"
#include "LoadGenerator/Caller.h"
#include "LoadGenerator/RunReport.h"

#include <atomic>

namespace Load {

/// Sends all arrivals at their times from a fixed number of threads. When all threads are busy, a query is
/// sent late and the wait counts as latency, so that slow answers cannot hide behind fewer queries.
class LoadRun
{
public:
    LoadRun(Caller &caller, RunReport &report, std::vector<Arrival> arrivals);

    /// Returns when all queries have ended.
    void run(int threads);

private:
    void work();

    Caller &caller_;
    RunReport &report_;
    std::vector<Arrival> arrivals_;
    Base::SystemClock clock_;
    Base::Instant start_ {};
    std::atomic<std::size_t> next_ {0};
};

} // namespace Load
