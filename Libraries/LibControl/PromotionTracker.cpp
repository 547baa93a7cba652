#include "LibControl/PromotionTracker.h"

namespace Control {

void PromotionTracker::recordReport(const Wire::RenewLeaseRequest &renewal)
{
    reports_[renewal.entry.entryId] = {renewal.stagedRevision, renewal.rejectedRevision,
                                       renewal.rejectionDetail};
}

PromotionTracker::Decision PromotionTracker::decide(std::uint64_t revision,
                                                    const std::vector<std::string> &liveEntries) const
{
    Decision decision;
    for (const auto &entryId : liveEntries) {
        const auto found = reports_.find(entryId);
        if (found != reports_.end() && found->second.rejectedRevision == revision)
            return {Verdict::Abort, entryId + ": " + found->second.rejectionDetail, {}};
        if (found == reports_.end() || found->second.stagedRevision != revision)
            decision.unstagedEntries.push_back(entryId);
    }
    if (decision.unstagedEntries.empty())
        decision.verdict = Verdict::Accept;
    return decision;
}

} // namespace Control
