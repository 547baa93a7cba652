#pragma once

#include "LibBase/Time.h"
#include "LibWire/LeaseMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Control {

/// Collects what entry processes say about the pending proposal, in the memory of the leader. Reports are
/// repeated in every renewal, so a new leader needs nothing from its predecessor.
class PromotionTracker
{
public:
    enum class Verdict : std::uint8_t { Wait, Accept, Abort };

    struct Decision
    {
        Verdict verdict = Verdict::Wait;
        std::string detail; ///< Names the entry process and its reason when `verdict` is Abort.
        std::vector<std::string> missing; ///< Entry processes that have not staged yet.
    };

    void clear() { reports_.clear(); }

    /// Takes the report of one renewal.
    void observe(const Wire::RenewLeaseRequest &renewal);

    void forget(const std::string &entryId) { reports_.erase(entryId); }

    /// Decides about the proposal `revision` when `liveEntries` are the entry processes with a live lease.
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
