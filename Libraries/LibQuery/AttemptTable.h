#pragma once

#include "LibBase/Time.h"
#include "LibQuery/Action.h"
#include "LibQuery/ServerTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Query {

/// Counter part of an attempt id.
using AttemptKey = std::uint64_t;

enum class AttemptKind : std::uint8_t {
    First, ///< First attempt of the plan on the shard.
    Hedge, ///< Sent while another attempt is open.
    Retry, ///< Sent after a failed attempt that may have run.
    FreeRetry ///< Sent after an attempt that is known not to have run.
};

/// One open attempt on one shard.
struct AttemptRow
{
    QueryId queryId = 0;
    std::size_t shardIndex = 0;
    ServerKey server = 0;
    std::string ownerEntryId;
    Base::Instant sentAt {};
    AttemptKind kind = AttemptKind::First;
    bool overdue = false; ///< Counted in ServerRow::overdue.
};

/// Open attempts. An attempt id consists of the entry id, its incarnation and a counter, so that it is unique
/// in the system.
class AttemptTable
{
public:
    AttemptTable(std::string_view entryId, std::uint64_t incarnation);

    AttemptKey add(AttemptRow row);
    AttemptRow *find(AttemptKey key);
    void erase(AttemptKey key) { rows_.erase(key); }

    std::string formatId(AttemptKey key) const;
    /// Returns the key of an id that this process generated, whether the attempt is open or not.
    std::optional<AttemptKey> parseId(std::string_view attemptId) const;

private:
    std::string prefix_;
    AttemptKey lastKey_ = 0;
    std::unordered_map<AttemptKey, AttemptRow> rows_;
};

} // namespace Query
