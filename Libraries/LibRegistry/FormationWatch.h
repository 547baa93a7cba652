#pragma once

#include "LibBase/Time.h"
#include "LibConsensus/RaftNode.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Registry {

/// Tells a deployment that can never have the voters it needs from one that is still starting. Used on the
/// leader; what it has seen is lost with the leadership, and the next leader starts over.
class FormationWatch
{
public:
    enum class State : std::uint8_t {
        Complete, ///< There are enough voters.
        Starting, ///< Further voters may be on their way.
        Undersized ///< Nothing has come for so long that the voters there are must do.
    };

    struct Facts
    {
        std::size_t votersNeeded = 1;
        std::span<const std::string> seeds; ///< Peer addresses of the registries named in the settings.
        Base::Duration catchUpTime {}; ///< How long a VM that is back, or new, may take to catch up.
    };

    /// Returns the state at `now`; to be called several times a second while this node leads. A longer gap
    /// starts the wait over, because a process that was frozen has heard nobody.
    State observe(Base::Instant now, const Consensus::RaftStatus &status, const Facts &facts);

    /// Notes that a registry with a disk asked to join and is no member yet.
    void noteVoterOnItsWay() { quietSince_.reset(); }

    /// Forgets everything; to be called when this node does not lead.
    void reset();

    State state() const { return state_; }

    /// Returns the number of voters that may be lost with their disks while a majority stays.
    static std::size_t lossesBorne(std::size_t voters) { return voters > 0 ? (voters - 1) / 2 : 0; }

    /// Returns how long everything must have been quiet before a deployment counts as undersized.
    static Base::Duration patience(Base::Duration catchUpTime);

private:
    State state_ = State::Starting;
    std::vector<Wire::RaftMember> members_; ///< At the last observation.
    std::optional<Base::Instant> observedAt_;
    std::optional<Base::Instant> quietSince_; ///< Nothing has changed or been missing since.
};

} // namespace Registry
