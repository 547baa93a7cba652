#pragma once

#include "LibConsensus/RaftNode.h"
#include "LibControl/EventSink.h"

#include <set>
#include <string>
#include <utility>

namespace Control {

/// Reports changes of leader, isolation of this node, and members that are no longer heard.
class RaftWatch
{
public:
    /// Heartbeats come every 100 ms, so a member silent for this long has missed many of them.
    static constexpr Base::Duration UnheardAfter = Base::milliseconds(1500);

    explicit RaftWatch(EventSink onEvent)
        : onEvent_(std::move(onEvent))
    {
    }

    void observe(const Consensus::RaftStatus &status);

    /// Tells whether nothing is wrong as far as this node can see.
    static bool isHealthy(const Consensus::RaftStatus &status);

private:
    void observeMember(const Consensus::MemberStatus &member);

    EventSink onEvent_;
    std::string leaderId_;
    std::uint64_t term_ = 0;
    bool isolated_ = false;
    std::set<std::pair<std::string, std::uint64_t>> unheard_; ///< Node ids and incarnations.
};

} // namespace Control
