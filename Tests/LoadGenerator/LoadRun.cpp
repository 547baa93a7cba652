#include "LoadGenerator/LoadRun.h"

#include <thread>

namespace Load {

LoadRun::LoadRun(Caller &caller, RunReport &report, std::vector<Arrival> arrivals)
    : caller_(caller)
    , report_(report)
    , arrivals_(std::move(arrivals))
{
}

void LoadRun::work()
{
    for (auto position = next_++; position < arrivals_.size(); position = next_++) {
        const auto &arrival = arrivals_[position];
        const auto intended = start_ + arrival.offset;
        std::this_thread::sleep_for(intended - clock_.now());
        auto result = caller_.call(arrival);
        result.offset = arrival.offset;
        result.latency = clock_.now() - intended;
        report_.add(result);
    }
}

void LoadRun::run(int threads)
{
    start_ = clock_.now();
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(threads));
    for (int count = 0; count < threads; ++count)
        workers.emplace_back([this] { work(); });
    for (auto &worker : workers)
        worker.join();
}

} // namespace Load
