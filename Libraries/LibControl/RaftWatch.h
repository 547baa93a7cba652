#pragma once

#include "LibConsensus/RaftNode.h"
#include "LibControl/EventSink.h"

#include <set>
#include <string>
#include <utility>

namespace Control {

/// Reports changes of leader, isolation of this node, and unresponsive members.
class RaftWatch
{
public:
    /// Heartbeats are sent every 100 ms, so a member silent for this long has missed many of them.
    static constexpr Base::Duration UnheardAfter = Base::milliseconds(1500);

    explicit RaftWatch(EventSink onEvent)
        : onEvent_(std::move(onEvent))
    {
    }

    void observe(const Consensus::RaftStatus &status);

    /// Tells whether this node is not isolated, there is a leader and all members known to this node respond.
    static bool isHealthy(const Consensus::RaftStatus &status);

private:
    void observeMember(const Consensus::MemberStatus &member);

    EventSink onEvent_;
    std::string leaderId_;
    std::uint64_t term_ = 0;
    bool isolated_ = false;
    std::set<std::pair<std::string, std::uint64_t>> unresponsive_; ///< Node ids and incarnations.
};

} // namespace Control
