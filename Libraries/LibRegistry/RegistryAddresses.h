#pragma once

#include "LibConsensus/RaftNode.h"

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Registry {

/// Remembers where registries were seen, also those that are no members any more. Failure: all VMs lose power
/// and the settings name only registries without a disk afterwards. These have forgotten the members, so the
/// members must find them.
class RegistryAddresses
{
public:
    /// Addresses beyond this number are not remembered.
    static constexpr std::size_t MaxRemembered = 64;

    void rememberMembers(std::span<const Consensus::MemberStatus> members);
    /// Returns true if the address was not known.
    bool remember(const std::string &address);

    const std::set<std::string> &remembered() const { return remembered_; }

    /// Remembered addresses, and those of registries that the settings name, at which no member is.
    std::vector<std::string> withoutMember(std::span<const Consensus::MemberStatus> members,
                                           const std::set<std::string> &named) const;

private:
    std::set<std::string> remembered_;
};

} // namespace Registry
