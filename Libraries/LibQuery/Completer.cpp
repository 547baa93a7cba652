#include "LibQuery/Completer.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace Query {

namespace {

LackingShard describeLacking(const ShardRow &row)
{
    LackingShard lacking {row.shard->name, row.lastError.value_or(Base::ErrorKind::DeadlineExceeded),
                          std::max(row.worstRunState, row.previousPlanRunState)};
    if (row.state == ShardState::Pending && !row.openAttempts.empty()) {
        lacking.kind = Base::ErrorKind::DeadlineExceeded;
        lacking.run = std::max(lacking.run, Base::RunState::MayHaveRun);
    }
    return lacking;
}

Failure describeFailure(const QueryRow &query, std::vector<LackingShard> lacking)
{
    Failure failure;
    failure.requestId = query.caller.requestId;
    const auto kind = lacking.empty() ? Base::ErrorKind::NoEligibleReplica : lacking.front().kind;
    const bool sameKind = std::all_of(lacking.begin(), lacking.end(),
                                      [&](const LackingShard &shard) { return shard.kind == kind; });
    failure.error.kind = sameKind ? kind : Base::ErrorKind::ShardUnavailable;
    failure.error.detail = fmt::format("none of {} shards replied", lacking.size());
    for (const auto &shard : lacking)
        failure.run = std::max(failure.run, shard.run);
    failure.lacking = std::move(lacking);
    return failure;
}

} // namespace

void Completer::refuse(const CallerQuery &caller, Base::Error error)
{
    ++tables_.statistics.refused;
    Failure failure;
    failure.requestId = caller.requestId;
    failure.run = Base::errorAnswer(error.kind).runState;
    failure.error = std::move(error);
    tables_.actions.emplace_back(CompleteQuery {caller.token, std::move(failure)});
}

Completion Completer::summarize(QueryRow &query)
{
    std::vector<LackingShard> lacking;
    for (const auto &row : query.shards) {
        if (row.state != ShardState::Covered)
            lacking.push_back(describeLacking(row));
    }
    if (query.coveredCount == 0)
        return describeFailure(query, std::move(lacking));

    Answer answer;
    answer.requestId = query.caller.requestId;
    answer.indexVersion = query.indexVersion;
    answer.revision = query.map->revision();
    answer.lacking = std::move(lacking);
    for (auto &row : query.shards) {
        if (row.state == ShardState::Covered)
            answer.results.emplace(row.shard->name, std::move(row.body));
    }
    return answer;
}

void Completer::reply(QueryRow &query, Completion completion)
{
    if (!query.callerWaiting)
        return;
    query.callerWaiting = false;
    count(completion);
    tables_.queryByToken.erase(query.caller.token);
    tables_.actions.emplace_back(CompleteQuery {query.caller.token, std::move(completion)});
}

void Completer::count(const Completion &completion)
{
    auto &statistics = tables_.statistics;
    if (std::holds_alternative<Failure>(completion))
        ++statistics.failures;
    else if (const auto *answer = std::get_if<Answer>(&completion); answer != nullptr && !answer->complete())
        ++statistics.partialAnswers;
    else
        ++statistics.completeAnswers;
}

void Completer::finish(Base::Instant now, QueryRow &query)
{
    if (query.stage == QueryStage::Done)
        return;
    dispatcher_.cancelAll(query);
    query.stage = QueryStage::Done;
    tables_.queryByToken.erase(query.caller.token);
    if (!query.caller.idempotent)
        tables_.openRequestIds.erase(query.caller.requestId);
    tables_.admission.release(now, {query.caller.trafficClass, query.caller.index, query.caller.tenant},
                              {query.acceptedAt, query.overloadSeen});
    tables_.finishedQueries.push_back(query.id);
}

} // namespace Query
