#pragma once

#include "LibBase/Time.h"
#include "LibConsensus/NodeIdentity.h"
#include "LibWire/RegistryMessages.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Registry {

/// Appoints the registry that founds the cluster when the first one that the settings name has no disk. Runs
/// there, in the first process of a new deployment only, so that there is a single founder. A cluster founded
/// on a disk loses nothing when this process ends.
class FounderSearch
{
public:
    /// `otherSeeds` are the peer addresses of the other registries that the settings name. If these are not
    /// all there are, registries without a disk wait for `patience` before they do without one.
    FounderSearch(std::set<std::string> otherSeeds, bool namesAllRegistries, Base::Duration patience);

    /// Notes a registry that asks to join. Returns whether it must found the cluster; always the same one.
    bool appoints(const Wire::JoinRequest &request);

    /// Peer address of the founder; empty while there is none.
    const std::string &founderAddress() const { return founderAddress_; }

    /// Whether this registry must found the cluster itself, as none with a disk has come. To be called
    /// several times a second; a longer gap starts the wait over, because a process that was frozen has heard
    /// nobody. Once this is true, nobody is appointed.
    bool mustFoundHere(Base::Instant now);

private:
    std::set<std::string> unheardSeeds_;
    Base::Duration patience_;
    std::optional<Consensus::NodeIdentity> founder_;
    std::string founderAddress_;
    std::optional<Base::Instant> waitingSince_;
    Base::Instant observedAt_;
    bool foundsHere_ = false;
};

} // namespace Registry
