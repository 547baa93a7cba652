#pragma once

#include "FakeCluster.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Tests {

/// Model of a correct entry process: renews, stages, releases on request, and uses its shares only
/// while its own lease is valid.
class EntryModel
{
public:
    /// Longest lease of a process whose clock is as slow as LeaseTable::ClockDriftFraction allows.
    static constexpr Base::Duration SlowClockLease = Base::milliseconds(3150);

    EntryModel(std::string entryId, std::uint64_t incarnation)
        : entryId_(std::move(entryId))
        , incarnation_(incarnation)
    {
    }

    Wire::RenewLeaseRequest makeRenewal() const
    {
        auto request = FakeCluster::renewal(entryId_, directory_.proposed.revision, incarnation_);
        request.directoryVersion = directory_.version;
        for (const auto &[serverId, epoch] : released_)
            request.releasedShares.push_back({serverId, epoch});
        return request;
    }

    void receive(Base::Instant sentAt, const Wire::RenewLeaseReply &reply)
    {
        leaseEnd_ = std::max(leaseEnd_, sentAt + SlowClockLease);
        if (!reply.directoryChanged || reply.directory.version <= directory_.version)
            return;
        directory_ = reply.directory;
        for (const auto &share : directory_.shares) {
            if (share.releaseRequested && share.entryId == entryId_)
                released_.insert({share.serverId, share.epoch});
        }
    }

    /// Servers that the process would send requests to at `now`.
    std::vector<std::string> usedServers(Base::Instant now) const
    {
        std::vector<std::string> used;
        for (const auto &share : directory_.shares) {
            const bool isOwned =
                share.entryId == entryId_ && !released_.contains({share.serverId, share.epoch});
            if (now < leaseEnd_ && isOwned)
                used.push_back(share.serverId);
        }
        return used;
    }

    std::uint64_t acceptedRevision() const { return directory_.accepted.revision; }

private:
    std::string entryId_;
    std::uint64_t incarnation_;
    Base::Instant leaseEnd_;
    Wire::Directory directory_;
    std::set<std::pair<std::string, std::uint64_t>> released_;
};

} // namespace Tests
