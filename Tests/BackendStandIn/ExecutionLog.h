#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace StandIn {

/// One attempt that reached a server.
struct Execution
{
    std::string attemptId;
    std::string server;
    std::string shard;
    std::uint64_t version = 0;
    std::string outcome; ///< "running", "done", "cancelled", "deadline", "failed", or why it was not run.
    bool ran = false; ///< It occupied a slot, if only for a moment.
    double serviceMs = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Execution, attemptId, server, shard, version, outcome, ran, serviceMs)

/// What every server did for every request id, to check at-most-once and "not run".
class ExecutionLog
{
public:
    /// The index of a new record of `requestId`. Records of idempotent requests are dropped when there are
    /// too many; those of non-idempotent requests are kept.
    std::size_t add(const std::string &requestId, bool idempotent, Execution execution);

    /// Notes that the record got a slot.
    void start(const std::string &requestId, std::size_t position, double serviceMs);

    /// Changes a record's outcome; does nothing when the record was dropped.
    void finish(const std::string &requestId, std::size_t position, const std::string &outcome);

    const std::vector<Execution> &find(const std::string &requestId) const;

    /// Ids of non-idempotent requests that ran more than once.
    std::vector<std::string> repeated() const;

    void clear();

private:
    Execution *findRecord(const std::string &requestId, std::size_t position);

    std::map<std::string, std::vector<Execution>> byRequest_;
    std::map<std::string, bool> nonIdempotent_;
    std::deque<std::string> droppable_;
};

} // namespace StandIn
