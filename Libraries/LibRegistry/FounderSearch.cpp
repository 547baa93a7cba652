#include "LibRegistry/FounderSearch.h"

#include <utility>

namespace Registry {

namespace {

constexpr Base::Duration LongestGap = Base::seconds(1);

} // namespace

FounderSearch::FounderSearch(std::set<std::string> otherSeeds, bool namesAllRegistries,
                             Base::Duration patience)
    : unheardSeeds_(std::move(otherSeeds))
    , patience_(namesAllRegistries ? Base::Duration::zero() : patience)
{
}

bool FounderSearch::appoints(const Wire::JoinRequest &request)
{
    unheardSeeds_.erase(request.peerAddress);
    if (foundsHere_)
        return false;
    const Consensus::NodeIdentity identity {request.nodeId, request.incarnation};
    if (!founder_ && request.mayFound) {
        founder_ = identity;
        founderAddress_ = request.peerAddress;
    }
    return founder_ == identity;
}

bool FounderSearch::mustFoundHere(Base::Instant now)
{
    const bool wasFrozen = waitingSince_ && now - observedAt_ > LongestGap;
    observedAt_ = now;
    if (!waitingSince_ || wasFrozen)
        waitingSince_ = now;
    // A seed that is down may have a disk.
    if (!founder_ && unheardSeeds_.empty() && now - *waitingSince_ >= patience_)
        foundsHere_ = true;
    return foundsHere_;
}

} // namespace Registry
