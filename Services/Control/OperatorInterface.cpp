#include "Services/Control/OperatorInterface.h"

#include "LibBase/Digest.h"
#include "LibBase/JsonLimits.h"
#include "Services/Control/HttpAnswer.h"
#include "Services/Control/StatusJson.h"

#include <array>
#include <future>
#include <memory>

namespace Services {

namespace {

using Base::ErrorKind;
using nlohmann::json;

/// Exceeds the operator time limit of the decision logic, which normally answers first.
constexpr auto AnswerTimeout = std::chrono::seconds(20);
constexpr std::string_view DocumentsPath = "/v1/documents/";
constexpr std::string_view MembersPath = "/v1/members/";
constexpr std::size_t MaxChangeIdBytes = 256;

json mistakesJson(const std::vector<Configuration::Mistake> &mistakes)
{
    auto items = json::array();
    for (const auto &mistake : mistakes) {
        items.push_back({{"line", mistake.line},
                         {"path", mistake.path},
                         {"value", mistake.value},
                         {"accepted", mistake.accepted}});
    }
    return {{"mistakes", std::move(items)}};
}

Http::Response submitResponse(const Base::Result<Control::SubmitResult> &result)
{
    if (!result)
        return errorResponse(result.error());
    if (!result->mistakes.empty())
        return errorResponse({ErrorKind::DocumentInvalid, {}}, mistakesJson(result->mistakes));
    return jsonResponse(200, {{"hash", result->documentHash}, {"environment", result->environment}});
}

Http::Response promotionResponse(const Base::Result<Control::PromotionResult> &result)
{
    if (!result)
        return errorResponse(result.error());
    const json change {
        {"revision", result->revision}, {"hash", result->documentHash}, {"change_id", result->changeId}};
    if (result->state == Control::PromotionState::Accepted)
        return jsonResponse(200, change);
    if (result->state == Control::PromotionState::Conflict)
        return errorResponse({ErrorKind::RevisionConflict, {}}, {{"winner", change}});
    if (result->state == Control::PromotionState::Rejected)
        return errorResponse({ErrorKind::DocumentRejected, result->detail});
    return errorResponse({ErrorKind::OutcomeUnknown, "the promotion is still pending"});
}

Http::Response membershipResponse(const Base::Result<Wire::RaftMember> &result)
{
    if (!result)
        return errorResponse(result.error());
    return jsonResponse(200, {{"node_id", result->nodeId},
                              {"incarnation", result->incarnation},
                              {"peer_address", result->peerAddress}});
}

/// Returns a discarded value for a body that is no JSON, is nested too deeply or holds too many values.
json parseBody(const std::string &body)
{
    if (!Base::isWithinJsonLimits(body))
        return json(json::value_t::discarded);
    return json::parse(body, nullptr, false);
}

bool hasText(const json &body, const char *key)
{
    return body.is_object() && body.contains(key) && body[key].is_string();
}

Base::Result<Control::ProposePromotion> parsePromotion(const std::string &body)
{
    const auto parsed = parseBody(body);
    const auto isText = [&parsed](const char *key) {
        return parsed.contains(key) && parsed[key].is_string();
    };
    if (!parsed.is_object() || !isText("hash") || !isText("change_id") || !parsed.contains("base_revision")
        || !parsed["base_revision"].is_number_unsigned())
        return Base::fail(ErrorKind::InvalidRequest,
                          "expected {\"hash\": text, \"base_revision\": number, \"change_id\": text}");
    Control::ProposePromotion promotion {parsed["hash"].get<std::string>(),
                                         parsed["base_revision"].get<std::uint64_t>(),
                                         parsed["change_id"].get<std::string>()};
    if (promotion.changeId.empty() || promotion.changeId.size() > MaxChangeIdBytes)
        return Base::fail(ErrorKind::InvalidRequest, "the change id must have 1 to 256 bytes");
    return promotion;
}

} // namespace

Http::Response OperatorInterface::handle(const Http::Request &request)
{
    const auto *route = findRoute(request);
    if (route == nullptr)
        return errorResponse({ErrorKind::NotFound, request.method + " " + request.path});
    if (route->needsKey && !hasKey(request))
        return errorResponse({ErrorKind::Unauthorized, {}});
    // The event may outlive this call when the wait times out, so it owns copies of what it uses.
    const auto promise = std::make_shared<std::promise<Http::Response>>();
    auto future = promise->get_future();
    const auto answer = [promise](Http::Response response) { promise->set_value(std::move(response)); };
    const bool posted = events_.post(
        [this, operation = route->operation, request, answer] { (this->*operation)(request, answer); });
    if (!posted)
        return errorResponse({ErrorKind::ShuttingDown, {}});
    if (future.wait_for(AnswerTimeout) != std::future_status::ready)
        return errorResponse({ErrorKind::OutcomeUnknown, "no answer within the time limit"});
    return future.get();
}

const OperatorInterface::Route *OperatorInterface::findRoute(const Http::Request &request)
{
    static constexpr std::array<Route, 7> Routes {{
        {"POST", "/v1/documents", true, &OperatorInterface::submitDocument},
        {"GET", DocumentsPath, true, &OperatorInterface::readDocument},
        {"POST", "/v1/promotions", true, &OperatorInterface::promote},
        {"GET", "/v1/status", true, &OperatorInterface::readStatus},
        {"POST", "/v1/members", true, &OperatorInterface::addMember},
        {"DELETE", MembersPath, true, &OperatorInterface::removeMember},
        {"GET", "/v1/entries", false, &OperatorInterface::readEntries},
    }};
    for (const auto &route : Routes) {
        const bool matchesPath =
            route.path.back() == '/' ? request.path.starts_with(route.path) : request.path == route.path;
        if (matchesPath && request.method == route.method)
            return &route;
    }
    return nullptr;
}

bool OperatorInterface::hasKey(const Http::Request &request) const
{
    return Base::constantTimeEquals(request.header("Authorization"), "Bearer " + settings_.sharedSecret);
}

void OperatorInterface::submitDocument(const Http::Request &request, const Answer &answer)
{
    core_.submitDocument(clock_.now(), request.body,
                         [answer](const auto &result) { answer(submitResponse(result)); });
}

void OperatorInterface::readDocument(const Http::Request &request, const Answer &answer)
{
    const auto *text = core_.state().findDocument(request.path.substr(DocumentsPath.size()));
    if (text == nullptr)
        return answer(errorResponse({ErrorKind::NotFound, "no document has this hash"}));
    answer({200, {{"Content-Type", "application/toml"}}, *text});
}

void OperatorInterface::promote(const Http::Request &request, const Answer &answer)
{
    const auto promotion = parsePromotion(request.body);
    if (!promotion)
        return answer(errorResponse(promotion.error()));
    core_.promote(clock_.now(), *promotion,
                  [answer](const auto &result) { answer(promotionResponse(result)); });
}

void OperatorInterface::readStatus(const Http::Request &, const Answer &answer)
{
    const auto now = clock_.now();
    answer(jsonResponse(200, controlStatusJson(settings_.nodeId, core_, raft_.status(now), now)));
}

void OperatorInterface::addMember(const Http::Request &request, const Answer &answer)
{
    const auto parsed = parseBody(request.body);
    if (!hasText(parsed, "node_id") || !hasText(parsed, "peer_address"))
        return answer(errorResponse(
            {ErrorKind::InvalidRequest, "expected {\"node_id\": text, \"peer_address\": \"ip:port\"}"}));
    membership_.add(clock_.now(), parsed["node_id"].get<std::string>(),
                    parsed["peer_address"].get<std::string>(),
                    [answer](const auto &result) { answer(membershipResponse(result)); });
}

void OperatorInterface::removeMember(const Http::Request &request, const Answer &answer)
{
    membership_.remove(clock_.now(), request.path.substr(MembersPath.size()),
                       [answer](const auto &result) { answer(membershipResponse(result)); });
}

void OperatorInterface::readEntries(const Http::Request &, const Answer &answer)
{
    // An isolated node may know a list of long ago.
    if (raft_.status(clock_.now()).isolated)
        return answer(errorResponse({ErrorKind::ControlUnavailable, "this control process is isolated"}));
    // After a restart nothing is applied until a leader is heard, and an empty list would look like the
    // truth.
    if (core_.appliedIndex() == 0)
        return answer(errorResponse({ErrorKind::ControlUnavailable, "the list of entries is not known yet"}));
    answer(jsonResponse(200, entriesJson(core_)));
}

} // namespace Services
