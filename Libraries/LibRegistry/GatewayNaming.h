#pragma once

#include "LibWire/RegistryMessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Registry {

/// Chooses the gateways that each answer to a look-up names. Callers pick one of them at random, so a gateway
/// gets fewer callers only by being absent from some answers. No I/O, no clock of its own.
///
/// Load patterns: VMs of different speed in one class; half of the callers of a data centre move at once.
///
/// A gateway with a share below the largest one is named in as many answers as its share is of that. Where it
/// is left out, a standby of its data centre stands in, one that selectGateways() leaves out and that suits
/// gathers. Without one the answer is shorter, down to MinPerDataCentre. If all shares are equal, each answer
/// is what selectGateways() returns.
class GatewayNaming
{
public:
    /// Gateways of a data centre that every answer names, if selectGateways() names that many.
    static constexpr std::size_t MinPerDataCentre = 2;

    enum class Rule : std::uint8_t {
        ByClass, ///< Shares count for nothing.
        ByShare
    };

    explicit GatewayNaming(Rule rule)
        : rule_(rule)
    {
    }

    /// Takes all serving gateways; of these at most `preferred` are named at once.
    void setGateways(const std::vector<Wire::GatewayRecord> &serving, std::size_t preferred);

    /// Returns the gateways of the next answer; empty only if no gateway serves. The pointers hold until the
    /// next call of setGateways().
    std::vector<const Wire::GatewayRecord *> nextAnswer();

    /// Number of gateways that callers may be sent to by the answers to come.
    std::size_t gatewaysInUse() const { return named_.size() + standbys_.size(); }

private:
    bool isDue(const Wire::GatewayRecord &gateway);
    int &creditOf(const Wire::GatewayRecord &gateway);

    Rule rule_;
    std::vector<Wire::GatewayRecord> named_; ///< By selectGateways().
    /// In each data centre as many as gateways with a reduced share, as far as there are that many.
    std::vector<Wire::GatewayRecord> standbys_;
    int largestShare_ = Wire::FullCallerShare;
    bool sharesDiffer_ = false;
    /// By gateway id. Rises by the share with each answer; at `largestShare_` the gateway is due and pays
    /// that.
    std::map<std::string, int, std::less<>> credits_;
};

} // namespace Registry
