#include "Services/Control/ControlMetrics.h"

#include "Services/Common/PeerMetrics.h"

namespace Services {

void ControlMetrics::update(const Consensus::RaftStatus &raft, const Control::ControlCore &core,
                            const Peer::TrafficCounters &traffic)
{
    const auto set = [this](const char *name, const char *help, double value) {
        registry_.gauge(name, help).set(value);
    };
    set("daisyroute_control_term", "Raft term.", static_cast<double>(raft.term));
    set("daisyroute_control_leader", "1 on the leader.", raft.role == Consensus::Role::Leader ? 1 : 0);
    set("daisyroute_control_isolated", "1 while no majority is heard.", raft.isolated ? 1 : 0);
    set("daisyroute_control_applied_index", "Last log entry applied.",
        static_cast<double>(core.appliedIndex()));
    const auto &content = core.state().content();
    set("daisyroute_revision", "Configuration revision in force.",
        static_cast<double>(content.accepted.revision));
    set("daisyroute_entries", "Registered entry processes.", static_cast<double>(content.entries.size()));
    set("daisyroute_shares", "Backend servers with an owner.", static_cast<double>(content.shares.size()));
    updatePeerMetrics(registry_, traffic);
}

} // namespace Services
