#pragma once

#include "LibBase/ErrorKind.h"
#include "LibBase/Time.h"
#include "LibForward/ServerStanding.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Forward {

/// Why a request is refused before anything of it is sent.
struct Refusal
{
    Base::ErrorKind error = Base::ErrorKind::Internal;
    std::string_view cause;
};

/// What would happen now to the part of a request that one service serves.
struct LegExplanation
{
    enum class Fate : std::uint8_t {
        Sent, ///< To the first of the servers, or to another one that may be chosen.
        Waits, ///< No server has room.
        Missing ///< No server accepts work.
    };

    std::string_view service; ///< Of the configuration.
    Fate fate = Fate::Missing;
    std::vector<ServerStanding> servers; ///< In the order of the choice.
    std::size_t accepting = 0; ///< Servers that accept work.
    std::uint32_t connectionShare = 0; ///< Connections of this gateway to one server.
    std::uint32_t freeAttempts = 0; ///< That the servers would take at once.
    double attemptsPerSecond = 0.0; ///< Estimate for this gateway.
    std::size_t waiting = 0; ///< Sub-requests that wait for the service.
    /// Estimated time until the turn of a request that has to wait.
    Base::Duration expectedWait {};
    std::optional<bool> aboveShare; ///< Of its tenant; empty if tenants share no room.
};

/// A service that a request may go to by the split of its route.
struct TargetExplanation
{
    std::string_view service; ///< Of the configuration.
    double weight = 0.0;
    bool next = false;
};

/// What ForwardCore would do with a request that came now. Refers to the table of the request.
struct Explanation
{
    std::uint32_t rank = 0;
    std::optional<Refusal> refusal; ///< Empty if it would be admitted.
    bool isProbe = false; ///< Admitted only to find out whether silent servers answer again.
    std::vector<TargetExplanation> targets; ///< Empty for a gather.
    bool isSplitKnown = true; ///< False before the first request, whose target is drawn.
    std::vector<LegExplanation> legs; ///< One for each shard of a gather, else one.
    double legsNeeded = 1.0;
    Base::Duration meanLatency {}; ///< Of the route's attempts.
};

} // namespace Forward
