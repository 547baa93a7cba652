#pragma once

#include "LoadGenerator/AnswerChecker.h"
#include "LoadGenerator/ArrivalSchedule.h"
#include "LoadGenerator/CallResult.h"
#include "LoadGenerator/ConnectionPool.h"
#include "LoadGenerator/EntryDirectory.h"

#include <string>

namespace Load {

/// Sends queries as a careful caller does. Thread-safe.
class Caller
{
public:
    /// `runId` makes request ids unique over several runs against one system.
    Caller(EntryDirectory &directory, const AnswerChecker &checker, const std::vector<QueryKind> &mix,
           std::string runId, Base::Duration timeout);

    /// Sends one query, retrying on another entry where that is safe.
    CallResult call(const Arrival &arrival);

private:
    struct Attempt
    {
        CallResult result;
        bool mayRetry = false;
    };

    nlohmann::json buildQuery(const Arrival &arrival) const;
    Attempt tryEntry(const std::string &address, const nlohmann::json &query, bool idempotent);
    Attempt judge(const Http::Response &response, const nlohmann::json &query, bool idempotent) const;
    CallResult judgeAnswer(const nlohmann::json &answer, const nlohmann::json &query) const;

    EntryDirectory &directory_;
    const AnswerChecker &checker_;
    const std::vector<QueryKind> &mix_;
    std::string runId_;
    Base::Duration timeout_;
    ConnectionPool pool_;
};

} // namespace Load
