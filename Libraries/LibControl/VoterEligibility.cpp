#include "LibControl/VoterEligibility.h"

#include <algorithm>

namespace Control {

bool anyMemberHasDisk(const Consensus::RaftStatus &status)
{
    return std::any_of(status.members.begin(), status.members.end(),
                       [](const auto &member) { return member.member.hasDisk; });
}

bool isEligible(const Consensus::RaftStatus &status, const Wire::RaftMember &member)
{
    return member.hasDisk || !anyMemberHasDisk(status);
}

std::size_t eligibleVoterCount(const Consensus::RaftStatus &status)
{
    return static_cast<std::size_t>(
        std::count_if(status.members.begin(), status.members.end(), [&status](const auto &member) {
            return member.member.voter && isEligible(status, member.member);
        }));
}

} // namespace Control
