#include "LibRegistry/FormationWatch.h"

#include "LibControl/RaftWatch.h"
#include "LibControl/VoterEligibility.h"
#include "LibRegistry/Formation.h"

#include <algorithm>

namespace Registry {

namespace {

/// A loss of power lasts a few catch-up times, and a VM that comes back from it may bring the missing voter.
constexpr int PatienceInCatchUpTimes = 4;
constexpr Base::Duration ShortestPatience = Base::seconds(10);
constexpr Base::Duration LongestGap = Base::seconds(1);

/// Whether some registry is known that may still become a voter, or a voter that may have more to tell.
bool expectsMore(const Consensus::RaftStatus &status, std::span<const std::string> seeds)
{
    if (status.membershipIndex > status.commitIndex)
        return true;
    const auto isExpected = [&status](const Consensus::MemberStatus &member) {
        const bool isLearner = !member.member.voter && Control::isEligible(status, member.member);
        return isLearner || (member.member.voter && member.silentFor >= Control::RaftWatch::UnheardAfter);
    };
    if (std::any_of(status.members.begin(), status.members.end(), isExpected))
        return true;
    // A registry that the settings name exists, whatever it is doing now.
    return std::any_of(seeds.begin(), seeds.end(), [&status](const auto &seed) {
        return std::none_of(status.members.begin(), status.members.end(),
                            [&seed](const auto &member) { return member.member.peerAddress == seed; });
    });
}

std::vector<Wire::RaftMember> membersOf(const Consensus::RaftStatus &status)
{
    std::vector<Wire::RaftMember> members;
    members.reserve(status.members.size());
    for (const auto &member : status.members)
        members.push_back(member.member);
    return members;
}

} // namespace

FormationWatch::State FormationWatch::observe(Base::Instant now, const Consensus::RaftStatus &status,
                                              const Facts &facts)
{
    if (Control::eligibleVoterCount(status) >= facts.votersNeeded) {
        reset();
        return state_ = State::Complete;
    }
    auto members = membersOf(status);
    const bool wasFrozen = observedAt_ && now - *observedAt_ > LongestGap;
    observedAt_ = now;
    const bool isWaiting = expectsMore(status, facts.seeds);
    if (isWaiting)
        quietSince_.reset();
    else if (!quietSince_ || wasFrozen || members != members_)
        quietSince_ = now;
    members_ = std::move(members);
    const bool waitedLongEnough = quietSince_ && now - *quietSince_ >= patience(facts.catchUpTime);
    return state_ = waitedLongEnough ? State::Undersized : State::Starting;
}

void FormationWatch::reset()
{
    state_ = State::Starting;
    members_.clear();
    observedAt_.reset();
    quietSince_.reset();
}

Base::Duration FormationWatch::patience(Base::Duration catchUpTime)
{
    return std::max(ShortestPatience, PatienceInCatchUpTimes * catchUpTime);
}

} // namespace Registry
