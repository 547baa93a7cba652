#pragma once

#include "LibAllowance/AllowanceStock.h"
#include "LibForward/Explanation.h"
#include "LibRoute/RouteTable.h"
#include "Services/Gateway/ExplainQuestion.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace Services {

/// What a gateway would do now with one request, and why.
struct RequestExplanation
{
    std::shared_ptr<const Route::RouteTable> table; ///< Null before there is one.
    const Route::RouteRule *route = nullptr; ///< Of `table`.
    const Route::TenantRule *tenant = nullptr; ///< Of `table`; null for a request without one.
    Base::Duration serverListAge {};
    /// What becomes of the wish for a unit of the tenant's allowance; empty if none is needed.
    std::optional<Allowance::Taking::Kind> unit;
    std::optional<Forward::Explanation> placing; ///< Empty without a route.
    /// The first reason for a refusal in the order in which a request meets them. Later steps are explained
    /// as if it did not exist.
    std::optional<Forward::Refusal> refusal;
};

/// As operators get it; without the key.
nlohmann::json describeExplanation(const RequestExplanation &explanation, const ExplainQuestion &question);

/// What would become of the request: "admitted", "waits", "asks_leader" or "refused".
std::string_view verdictOf(const RequestExplanation &explanation);

} // namespace Services
