#include "LibControl/RaftWatch.h"

#include <algorithm>

namespace Control {

using Base::LogLevel;

void RaftWatch::observe(const Consensus::RaftStatus &status)
{
    if (status.leaderId != leaderId_ || (status.term != term_ && !status.leaderId.empty())) {
        leaderId_ = status.leaderId;
        term_ = status.term;
        onEvent_(LogLevel::Info, leaderId_.empty() ? "Leader unknown." : "Leader changed.",
                 {{"leader", leaderId_}, {"term", status.term}});
    }
    if (status.isolated != isolated_) {
        isolated_ = status.isolated;
        onEvent_(isolated_ ? LogLevel::Error : LogLevel::Info,
                 isolated_ ? "This node is isolated from the majority."
                           : "This node is in contact with a majority again.",
                 {{"term", status.term}});
    }
    for (const auto &member : status.members)
        observeMember(member);
}

bool RaftWatch::isHealthy(const Consensus::RaftStatus &status)
{
    return !status.isolated && !status.leaderId.empty()
           && std::all_of(status.members.begin(), status.members.end(),
                          [](const auto &member) { return member.silentFor < UnheardAfter; });
}

void RaftWatch::observeMember(const Consensus::MemberStatus &member)
{
    const auto &nodeId = member.member.nodeId;
    const auto identity = std::make_pair(nodeId, member.member.incarnation);
    const bool isUnresponsive = member.silentFor >= UnheardAfter;
    if (isUnresponsive && unresponsive_.insert(identity).second)
        onEvent_(LogLevel::Warning, "Control node is unresponsive.",
                 {{"node", nodeId}, {"silent_ms", Base::toMilliseconds(member.silentFor)}});
    else if (!isUnresponsive && unresponsive_.erase(identity) > 0)
        onEvent_(LogLevel::Info, "Control node is responsive again.", {{"node", nodeId}});
}

} // namespace Control
