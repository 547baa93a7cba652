#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Wire {

/// Calls between the system's own processes.
enum class Method : std::uint8_t {
    RaftMessage, ///< control → control; the reply is empty, answers travel as separate calls.
    RenewLease, ///< entry → control leader.
    FetchDocument, ///< entry → any control process.
    ClaimRequest, ///< entry → control leader.
    RecordOutcome, ///< entry → control leader.
    ExecuteSubrequest, ///< entry → owner entry.
    ObserveBackends, ///< entry → owner entry.
    IntroduceNode, ///< control → control, registry → registry.
    WatchRegistry, ///< gateway → any registry; answered when something changes.
    JoinCluster, ///< registry → any registry.
    ShareState, ///< registry → every other registry.
    SubmitConfiguration, ///< registry → registry leader.
    ReadConfiguration, ///< registry → registry leader.
    LeaveCluster, ///< registry → registry leader.
    ConfirmConfiguration, ///< registry → registry leader.
    TakeAllowance, ///< gateway → registry leader.
    ChangeEvacuation, ///< registry → registry leader.
    Count
};

/// Returns the name used in stream paths, logs and metrics.
std::string_view methodName(Method method);

/// Returns the method with this name.
std::optional<Method> methodFromName(std::string_view name);

} // namespace Wire
