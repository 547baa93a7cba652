#pragma once

#include "LibBase/Time.h"
#include "LibWire/LeaseMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Control {

/// Collects reports of entry processes about the pending proposal; kept in the leader's memory only. Reports
/// are repeated in every renewal, so a new leader needs nothing from its predecessor.
class PromotionTracker
{
public:
    enum class Verdict : std::uint8_t { Wait, Accept, Abort };

    struct Decision
    {
        Verdict verdict = Verdict::Wait;
        std::string detail; ///< Names the entry process and its reason when `verdict` is Abort.
        std::vector<std::string> unstagedEntries; ///< Live entry processes that have not staged it yet.
    };

    void clear() { reports_.clear(); }

    /// Stores the report in a renewal; replaces the earlier report of the same entry process.
    void recordReport(const Wire::RenewLeaseRequest &renewal);

    void removeReport(const std::string &entryId) { reports_.erase(entryId); }

    /// Decides on the proposal `revision`; `liveEntries` are the entry processes with a live lease.
    Decision decide(std::uint64_t revision, const std::vector<std::string> &liveEntries) const;

private:
    struct Report
    {
        std::uint64_t stagedRevision = 0;
        std::uint64_t rejectedRevision = 0;
        std::string rejectionDetail;
    };

    std::map<std::string, Report> reports_;
};

} // namespace Control
