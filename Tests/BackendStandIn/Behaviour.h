#pragma once

#include "LibBase/Error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

namespace StandIn {

/// How one simulated server behaves; every field can be changed while it runs.
struct Behaviour
{
    double medianMs = 8; ///< Median of the lognormal service time.
    double sigma = 0.3; ///< Of the logarithm of the service time.
    double stragglerProbability = 0;
    double stragglerFactor = 10;
    double slowFactor = 1; ///< Applies to every request.
    std::uint32_t coldRequests = 0; ///< Requests after a start or a version change that are cold.
    double coldFactor = 5;
    std::uint32_t queueLimit = 4; ///< Requests beyond the slots that wait; more are shed.
    std::vector<std::uint64_t> versions {1};
    bool draining = false;
    bool up = true; ///< false: closes all connections and refuses new ones.
    bool silent = false; ///< Runs requests and never replies.
    double failProbability = 0; ///< Runs the request, then answers 500.
    double dropProbability = 0; ///< Runs the request, then closes the connection.
    double loadLagMs = 0; ///< Age of the load that is reported.
    double reportedLoad = -1; ///< Reported instead of the real load when not negative.

    /// Draws a service time in milliseconds.
    double drawServiceMs(std::mt19937_64 &random, bool cold) const;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Behaviour, medianMs, sigma, stragglerProbability,
                                                stragglerFactor, slowFactor, coldRequests, coldFactor,
                                                queueLimit, versions, draining, up, silent, failProbability,
                                                dropProbability, loadLagMs, reportedLoad)

/// Returns `behaviour` with the fields of `changes` replaced; unknown names and wrong types are refused.
Base::Result<Behaviour> changed(const Behaviour &behaviour, const nlohmann::json &changes);

} // namespace StandIn
