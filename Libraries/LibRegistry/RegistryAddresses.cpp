#include "LibRegistry/RegistryAddresses.h"

#include <algorithm>

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

std::vector<std::string>
RegistryAddresses::withoutMember(std::span<const Consensus::MemberStatus> members) const
{
    std::vector<std::string> addresses;
    std::copy_if(remembered_.begin(), remembered_.end(), std::back_inserter(addresses),
                 [members](const std::string &address) {
                     return std::none_of(members.begin(), members.end(), [&address](const auto &member) {
                         return member.member.peerAddress == address;
                     });
                 });
    return addresses;
}

} // namespace Registry
