#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Base {

/// The closed list of errors that any part may report. The answer to each is in errorAnswer().
enum class ErrorKind : std::uint8_t {
    InvalidRequest,
    RequestTooLarge,
    Unauthorized,
    NotFound,
    UnknownIndex,
    UnknownShard,
    Overloaded,
    TenantOverLimit,
    LeaseExpired,
    ShuttingDown,
    RequestIdExpired,
    RequestIdReused,
    InProgress,
    OutcomeUnknown,
    DeadlineExceeded,
    Cancelled,
    NoEligibleReplica,
    ShardUnavailable,
    VersionNotOffered,
    VersionMismatch,
    BackendShedding,
    BackendDraining,
    BackendUnreachable,
    BackendReplyLost,
    BackendFailed,
    PeerUnreachable,
    PeerReplyLost,
    NotLeader,
    NotOwner,
    ControlUnavailable,
    ConfigurationNotCurrent,
    RevisionConflict,
    DocumentInvalid,
    DocumentRejected,
    CorruptData,
    StorageFailed,
    SettingInvalid,
    MalformedMessage,
    Internal,
    Count
};

/// Whether a request that ended with an error was run by a backend server.
enum class RunState : std::uint8_t { NotRun, MayHaveRun, Run };

/// What a caller is told about one error kind.
struct ErrorAnswer
{
    std::string_view name; ///< Stable identifier in HTTP bodies and logs.
    int httpStatus;
    RunState runState;
    std::string_view message; ///< One sentence for people.
};

/// Returns the table entry for `kind`.
const ErrorAnswer &errorAnswer(ErrorKind kind);

/// Returns the stable identifier of `kind`.
std::string_view errorName(ErrorKind kind);

/// Returns the stable identifier of `state`: "no", "maybe" or "yes".
std::string_view runStateName(RunState state);

} // namespace Base
