#pragma once

#include "LibBase/Time.h"
#include "LibQuery/Answer.h"
#include "LibQuery/CallerQuery.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace Services {

/// Runs on the decision thread with the end of a query.
using QueryDone = std::function<void(Query::Completion)>;

/// One caller whose query is open.
struct OpenCaller
{
    std::string trafficClass;
    std::string tenant;
    Base::Instant arrivedAt;
    QueryDone done;
};

/// Callers that wait for an answer. Used on the decision thread only.
class CallerTable
{
public:
    Query::CallerToken add(OpenCaller caller)
    {
        callers_.emplace(++last_, std::move(caller));
        return last_;
    }

    std::optional<OpenCaller> take(Query::CallerToken token)
    {
        auto node = callers_.extract(token);
        return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
    }

private:
    Query::CallerToken last_ = 0;
    std::unordered_map<Query::CallerToken, OpenCaller> callers_;
};

} // namespace Services
