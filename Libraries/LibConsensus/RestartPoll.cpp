#include "LibConsensus/RestartPoll.h"

#include <algorithm>

namespace Consensus {

void RestartPoll::begin(Base::Instant now, std::span<const NodeIdentity> members)
{
    startedAt_ = now;
    ++round_;
    processes_.clear();
    for (const auto &member : members)
        processes_.try_emplace(member, 0);
}

bool RestartPoll::record(Base::Instant now, const NodeIdentity &member, std::uint64_t round,
                         std::uint64_t processId, Base::Duration uptime)
{
    const auto found = processes_.find(member);
    if (round != round_ || found == processes_.end() || processId == 0 || uptime < now - startedAt_)
        return false;
    if (std::exchange(found->second, processId) != 0)
        return false;
    const bool complete = std::all_of(processes_.begin(), processes_.end(),
                                      [](const auto &process) { return process.second != 0; });
    completeRounds_ += complete ? 1 : 0;
    const auto membersBefore = std::distance(processes_.begin(), processes_.lower_bound(self_));
    return complete && completeRounds_ > membersBefore;
}

std::uint64_t RestartPoll::processOf(const NodeIdentity &member) const
{
    const auto found = processes_.find(member);
    return found == processes_.end() ? 0 : found->second;
}

} // namespace Consensus
