#include "LibBase/ErrorKind.h"

namespace Base {

namespace {

constexpr std::size_t ErrorKindCount = static_cast<std::size_t>(ErrorKind::Count);

constexpr std::array<ErrorAnswer, ErrorKindCount> Answers {{
    {"invalid_request", 400, RunState::NotRun, "The request is malformed."},
    {"request_too_large", 413, RunState::NotRun, "The request exceeds a size limit."},
    {"unauthorized", 401, RunState::NotRun, "The key is missing or wrong."},
    {"not_found", 404, RunState::NotRun, "There is no such resource."},
    {"unknown_index", 404, RunState::NotRun, "The configuration has no such index."},
    {"unknown_shard", 404, RunState::NotRun, "The index has no such shard."},
    {"overloaded", 503, RunState::NotRun, "The class is at its admission limit."},
    {"tenant_over_limit", 429, RunState::NotRun, "The tenant is at its share of the admission limit."},
    {"lease_expired", 503, RunState::NotRun, "This entry process has no valid lease."},
    {"shutting_down", 503, RunState::NotRun, "This process is shutting down."},
    {"request_id_expired", 410, RunState::NotRun, "The request id is older than the retention window."},
    {"request_id_reused", 409, RunState::NotRun, "The request id was used with another body."},
    {"in_progress", 409, RunState::MayHaveRun, "The request with this id is still in progress."},
    {"outcome_unknown", 502, RunState::MayHaveRun, "The request was dispatched but its outcome is unknown."},
    {"deadline_exceeded", 504, RunState::MayHaveRun, "The deadline passed before an answer was complete."},
    {"cancelled", 499, RunState::MayHaveRun, "The request was cancelled."},
    {"no_eligible_replica", 503, RunState::NotRun, "No replica of the shard may take work."},
    {"shard_unavailable", 503, RunState::MayHaveRun, "Every attempt on the shard failed."},
    {"version_not_offered", 409, RunState::NotRun, "The server does not offer the requested index version."},
    {"version_mismatch", 502, RunState::MayHaveRun,
     "The reply is from another index version and was discarded."},
    {"backend_shedding", 503, RunState::NotRun, "The backend server shed the request."},
    {"backend_draining", 503, RunState::NotRun, "The backend server is draining."},
    {"backend_unreachable", 502, RunState::NotRun, "The backend server could not be connected."},
    {"backend_reply_lost", 502, RunState::MayHaveRun,
     "The backend server was sent the request but did not reply."},
    {"backend_failed", 502, RunState::MayHaveRun, "The backend server replied with an error."},
    {"peer_unreachable", 502, RunState::NotRun, "The peer process could not be reached; nothing was sent."},
    {"peer_reply_lost", 502, RunState::MayHaveRun,
     "The peer process was sent the request but did not reply."},
    {"not_leader", 421, RunState::NotRun, "This control process is not the leader."},
    {"not_owner", 421, RunState::NotRun, "This entry process does not own the backend server."},
    {"control_unavailable", 503, RunState::NotRun, "No control leader could be reached."},
    {"configuration_not_current", 503, RunState::NotRun,
     "This process cannot be sure that its configuration is the newest."},
    {"revision_conflict", 409, RunState::NotRun, "Another change was accepted on the base revision."},
    {"document_invalid", 422, RunState::NotRun, "The document has mistakes."},
    {"document_rejected", 409, RunState::NotRun, "An entry process rejected the document."},
    {"corrupt_data", 500, RunState::NotRun, "Stored data is damaged."},
    {"storage_failed", 500, RunState::NotRun, "The data directory could not be read or written."},
    {"setting_invalid", 400, RunState::NotRun, "A setting is not acceptable."},
    {"malformed_message", 400, RunState::NotRun, "A message could not be decoded."},
    {"internal", 500, RunState::MayHaveRun, "An internal error occurred."},
}};

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    if (index >= Answers.size())
        return Answers[static_cast<std::size_t>(ErrorKind::Internal)];
    return Answers[index];
}

std::string_view errorName(ErrorKind kind)
{
    return errorAnswer(kind).name;
}

std::string_view runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "no";
    case RunState::MayHaveRun:
        return "maybe";
    case RunState::Run:
        return "yes";
    }
    return "maybe";
}

} // namespace Base
