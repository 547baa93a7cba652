#include "LoadGenerator/Caller.h"

#include "LibBase/Digest.h"

#include <fmt/format.h>
#include <thread>

namespace Load {

namespace {

constexpr int MostAttempts = 4;
constexpr Base::Duration ConnectTimeout = Base::milliseconds(500);
constexpr Base::Duration PauseWithoutEntry = Base::milliseconds(100);
constexpr int OkStatus = 200;

/// Refusals for reasons of one entry process; another one may take the request. A retry after a refusal for
/// overload would only add load.
bool concernsOneEntry(const std::string &error)
{
    return error == "lease_expired" || error == "shutting_down";
}

} // namespace

Caller::Caller(EntryDirectory &directory, const AnswerChecker &checker, const std::vector<QueryKind> &mix,
               std::string runId, Base::Duration timeout)
    : directory_(directory)
    , checker_(checker)
    , mix_(mix)
    , runId_(std::move(runId))
    , timeout_(timeout)
{
}

nlohmann::json Caller::buildQuery(const Arrival &arrival) const
{
    const auto &kind = mix_[arrival.kind];
    const auto requestId = fmt::format("{}-{}", runId_, arrival.sequence);
    nlohmann::json query {
        {"request_id", requestId},
        {"index", kind.index},
        {"class", kind.trafficClass},
        {"tenant", kind.tenant},
        {"body", fmt::format("find {} for {}", arrival.sequence * 2'654'435'761U, requestId)}};
    if (!kind.idempotent) {
        query["idempotent"] = false;
        query["shard"] = checker_.anyShard(kind.index, arrival.sequence);
        query["created_at_ms"] = Base::SystemClock().wallNow();
    }
    return query;
}

CallResult Caller::call(const Arrival &arrival)
{
    const auto query = buildQuery(arrival);
    std::string address;
    Attempt attempt;
    for (int count = 1; count <= MostAttempts; ++count) {
        address = directory_.choose(address);
        if (address.empty()) {
            attempt = {{CallOutcome::Refused, {}, "no_entry_known"}, true};
            std::this_thread::sleep_for(PauseWithoutEntry);
        } else {
            attempt = tryEntry(address, query, mix_[arrival.kind].idempotent);
        }
        attempt.result.attempts = count;
        if (!attempt.mayRetry)
            break;
        directory_.invalidate();
    }
    attempt.result.requestId = query["request_id"];
    return attempt.result;
}

Caller::Attempt Caller::tryEntry(const std::string &address, const nlohmann::json &query, bool idempotent)
{
    // An idle connection may have been closed by the other side, and then a request on it may or may not have
    // been received. A request that must not run twice therefore gets a new connection.
    auto client =
        idempotent ? pool_.take(address, ConnectTimeout) : Http::Client::connect(address, ConnectTimeout);
    if (!client)
        return {{CallOutcome::Refused, {}, "entry_unreachable"}, true};
    Http::Request request;
    request.method = "POST";
    request.path = "/v1/query";
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = query.dump();
    const auto response = (*client)->exchange(request, timeout_);
    if (!response)
        pool_.drop(address);
    if (!response && response.error().sendState == Http::SendState::NotSent)
        return {{CallOutcome::Refused, {}, "entry_unreachable"}, true};
    if (!response)
        return {{CallOutcome::Failed, {}, "entry_reply_lost"}, idempotent};
    auto attempt = judge(*response, query, idempotent);
    pool_.give(address, std::move(*client));
    return attempt;
}

Caller::Attempt Caller::judge(const Http::Response &response, const nlohmann::json &query,
                              bool idempotent) const
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object())
        return {{CallOutcome::Wrong, {}, "the body is no JSON object"}, false};
    if (response.status == OkStatus)
        return {judgeAnswer(body, query), false};
    const auto error = body.value("error", fmt::format("status_{}", response.status));
    if (body.value("run", "maybe") == "no")
        return {{CallOutcome::Refused, {}, error}, concernsOneEntry(error)};
    return {{CallOutcome::Failed, {}, error}, idempotent && concernsOneEntry(error)};
}

CallResult Caller::judgeAnswer(const nlohmann::json &answer, const nlohmann::json &query) const
{
    const ExpectedAnswer expected {query["request_id"], query["index"],
                                   Base::sha256Hex(Base::asBytes(query["body"].get<std::string>())),
                                   query.value("shard", "")};
    auto fault = checker_.findFault(answer, expected);
    if (!fault.empty())
        return {CallOutcome::Wrong, {}, fault};
    if (answer["complete"].get<bool>())
        return {CallOutcome::Whole, {}, {}};
    return {CallOutcome::Partial, {}, answer["lacking"].front().value("error", "")};
}

} // namespace Load
