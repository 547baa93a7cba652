#pragma once

#include "LibForward/Backend.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Forward {

/// How one server stands in the choice for a new attempt, with the figures that the choice depends on.
/// Durations are those left.
struct ServerStanding
{
    BackendPointer server;
    Obstacle obstacle = Obstacle::None;
    Availability availability = Availability::None;
    double costMs = 0.0; ///< What the choice minimises, before its random spread.
    double latencyMs = 0.0; ///< Part of `costMs`: at its present speed and load.
    double distanceMs = 0.0; ///< Part of `costMs`: it is in another data centre.
    double slowness = 1.0; ///< Its latency over the route's mean.
    double errorRate = 0.0; ///< Recent fraction of failed attempts.
    std::uint32_t open = 0; ///< Attempts of this gateway there.
    std::uint32_t limit = 0; ///< Of attempts at once.
    std::uint32_t slotLimit = 0; ///< The same by slots and connections alone.
    bool isLimitLearned = false; ///< It was found to take fewer than that well.
    bool reportsLongQueue = false;
    std::optional<Adapter::ServerLoad> load; ///< As reported within the last moments.
    bool isStalled = false;
    bool isCold = false;
    std::optional<double> coldPerSecond; ///< What a cold one tolerates; then an attempt needs a unit.
    bool isResuming = false; ///< Its pause has ended, and it has served nothing since.
    Base::Duration pausedFor {};
    Base::Duration avoidedFor {}; ///< After failures in a row.
    std::optional<Base::Duration> leavesIn; ///< Until the end of its use; negative afterwards.
    /// Whether the choice may fall on it. The random spread makes that several servers of nearly equal cost.
    bool mayBeChosen = false;
};

/// Stable identifier of an obstacle.
std::string_view obstacleName(Obstacle obstacle);

} // namespace Forward
