#include "LibBackend/BackendReply.h"

#include <fmt/format.h>

namespace Backend {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusCancelled = 499;
constexpr int StatusUnavailable = 503;
constexpr int StatusDeadline = 504;

Base::ErrorKind kindOf(const BackendResponse &response)
{
    switch (response.status) {
    case StatusConflict:
        return Base::ErrorKind::VersionNotOffered;
    case StatusCancelled:
        return Base::ErrorKind::Cancelled;
    case StatusDeadline:
        return Base::ErrorKind::DeadlineExceeded;
    case StatusUnavailable:
        return response.reason == "draining" ? Base::ErrorKind::BackendDraining
                                             : Base::ErrorKind::BackendShedding;
    default:
        return Base::ErrorKind::BackendFailed;
    }
}

} // namespace

Verdict interpret(const BackendReply &reply, std::string_view attemptId)
{
    if (!reply)
        return {false, reply.error().error, !reply.error().sent};
    // Every status must echo the attempt id: a reply to another attempt says nothing about this one.
    if (reply->attemptId != attemptId)
        return {false, {Base::ErrorKind::BackendFailed, "the reply belongs to another attempt"}, false};
    if (reply->status == StatusOk)
        return {true, {}, false};
    // A kind that means "not run" by the table is used only where the server states it.
    auto kind = kindOf(*reply);
    if (!reply->statedNotRun && Base::errorAnswer(kind).runState == Base::RunState::NotRun)
        kind = Base::ErrorKind::BackendFailed;
    return {false,
            {kind, fmt::format("backend server replied with status {}", reply->status)},
            reply->statedNotRun};
}

} // namespace Backend
