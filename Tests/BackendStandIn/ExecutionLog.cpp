#include "BackendStandIn/ExecutionLog.h"

#include <algorithm>

namespace StandIn {

namespace {

constexpr std::size_t MostIdempotentRequests = 20'000;

} // namespace

std::size_t ExecutionLog::add(const std::string &requestId, bool idempotent, Execution execution)
{
    const auto [record, inserted] = byRequest_.try_emplace(requestId);
    if (!idempotent)
        nonIdempotent_[requestId] = true;
    else if (inserted)
        droppable_.push_back(requestId);
    if (droppable_.size() > MostIdempotentRequests) {
        if (nonIdempotent_.find(droppable_.front()) == nonIdempotent_.end())
            byRequest_.erase(droppable_.front());
        droppable_.pop_front();
    }
    record->second.push_back(std::move(execution));
    return record->second.size() - 1;
}

Execution *ExecutionLog::findRecord(const std::string &requestId, std::size_t position)
{
    const auto found = byRequest_.find(requestId);
    if (found == byRequest_.end() || position >= found->second.size())
        return nullptr;
    return &found->second[position];
}

void ExecutionLog::start(const std::string &requestId, std::size_t position, double serviceMs)
{
    if (auto *record = findRecord(requestId, position)) {
        record->ran = true;
        record->outcome = "running";
        record->serviceMs = serviceMs;
    }
}

void ExecutionLog::finish(const std::string &requestId, std::size_t position, const std::string &outcome)
{
    if (auto *record = findRecord(requestId, position))
        record->outcome = outcome;
}

const std::vector<Execution> &ExecutionLog::find(const std::string &requestId) const
{
    static const std::vector<Execution> None;
    const auto found = byRequest_.find(requestId);
    return found == byRequest_.end() ? None : found->second;
}

std::vector<std::string> ExecutionLog::repeated() const
{
    std::vector<std::string> ids;
    for (const auto &[requestId, marked] : nonIdempotent_) {
        const auto &executions = find(requestId);
        const auto runs = std::count_if(executions.begin(), executions.end(),
                                        [](const Execution &execution) { return execution.ran; });
        if (runs > 1)
            ids.push_back(requestId);
    }
    return ids;
}

void ExecutionLog::clear()
{
    byRequest_.clear();
    nonIdempotent_.clear();
    droppable_.clear();
}

} // namespace StandIn
