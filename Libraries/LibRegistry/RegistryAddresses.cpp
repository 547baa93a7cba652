#include "LibRegistry/RegistryAddresses.h"

namespace Registry {

void RegistryAddresses::rememberMembers(std::span<const Consensus::MemberStatus> members)
{
    for (const auto &member : members)
        remember(member.member.peerAddress);
}

bool RegistryAddresses::remember(const std::string &address)
{
    return !address.empty() && remembered_.size() < MaxRemembered && remembered_.insert(address).second;
}

std::vector<std::string> RegistryAddresses::withoutMember(std::span<const Consensus::MemberStatus> members,
                                                          const std::set<std::string> &named) const
{
    auto addresses = named;
    addresses.insert(remembered_.begin(), remembered_.end());
    for (const auto &member : members)
        addresses.erase(member.member.peerAddress);
    return {addresses.begin(), addresses.end()};
}

} // namespace Registry
