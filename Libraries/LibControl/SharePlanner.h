#pragma once

#include "LibConfiguration/Document.h"
#include "LibControl/Commands.h"

#include <map>
#include <string>
#include <vector>

namespace Control {

/// Decides which entry process owns which backend server. Pure: equal inputs give equal plans.
///
/// Criteria in descending priority: no two replicas of a shard at one entry process; equal counts; replicas
/// of a shard in different data centres; owner in the server's data centre. A move is planned only when it
/// improves one criterion and worsens none of higher priority, so repeated plans converge.
class SharePlanner
{
public:
    /// Limits how many servers are unusable at once after an entry process joins.
    static constexpr std::size_t MaxConcurrentMoves = 8;

    struct Plan
    {
        std::vector<ShareAssignment> assignments; ///< For servers without an owner.
        std::vector<Wire::ReleasedShare> releases; ///< To request from the owners.
    };

    /// `entries` are the entry processes that may own servers; `shares` are all shares in the log.
    static Plan plan(const Configuration::Document &document, const std::vector<Wire::EntryRecord> &entries,
                     const std::map<std::string, Wire::ShareRecord> &shares);
};

} // namespace Control
