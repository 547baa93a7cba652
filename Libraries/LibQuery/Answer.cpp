#include "LibQuery/Answer.h"

#include <nlohmann/json.hpp>

namespace Query {

namespace {

constexpr int OkStatus = 200;

nlohmann::ordered_json toJson(const std::vector<LackingShard> &lacking)
{
    auto list = nlohmann::ordered_json::array();
    for (const auto &shard : lacking)
        list.push_back({{"shard", shard.shard},
                        {"error", Base::errorName(shard.kind)},
                        {"run", Base::runStateName(shard.run)}});
    return list;
}

Wire::OutcomeRecord render(const Answer &answer)
{
    nlohmann::ordered_json body;
    body["request_id"] = answer.requestId;
    body["index_version"] = answer.indexVersion;
    body["revision"] = answer.revision;
    body["complete"] = answer.complete();
    body["covered"] = nlohmann::ordered_json::array();
    for (const auto &[shard, result] : answer.results)
        body["covered"].push_back(shard);
    body["lacking"] = toJson(answer.lacking);
    body["results"] = answer.results;
    return {OkStatus, body.dump()};
}

Wire::OutcomeRecord render(const Failure &failure)
{
    const auto &answer = Base::errorAnswer(failure.error.kind);
    nlohmann::ordered_json body;
    body["error"] = answer.name;
    body["message"] = answer.message;
    body["detail"] = failure.error.detail;
    body["run"] = Base::runStateName(failure.run);
    body["request_id"] = failure.requestId;
    if (!failure.lacking.empty())
        body["lacking"] = toJson(failure.lacking);
    // Details can quote input that is not valid UTF-8.
    return {answer.httpStatus, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

Wire::OutcomeRecord render(const Wire::OutcomeRecord &outcome)
{
    return outcome;
}

} // namespace

Wire::OutcomeRecord renderCompletion(const Completion &completion)
{
    return std::visit([](const auto &value) { return render(value); }, completion);
}

bool isRenderable(const std::string &body)
{
    try {
        return !nlohmann::json(body).dump().empty();
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

} // namespace Query
