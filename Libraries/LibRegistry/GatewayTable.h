#pragma once

#include "LibBase/Time.h"
#include "LibWire/RegistryMessages.h"

#include <map>
#include <string>
#include <vector>

namespace Registry {

/// Gateways by their own reports, heard directly or through other registries. Soft state: it fills again
/// within a second after a restart.
class GatewayTable
{
public:
    /// A gateway reports about three times a second; one that is silent for this long is not given to
    /// callers.
    static constexpr Base::Duration SilenceLimit = Base::milliseconds(1100);

    /// A report that came from the gateway itself.
    void report(Base::Instant now, const Wire::GatewayRecord &gateway);
    /// Reports that reached another gateway, which relays them; they count as heard here, with their age.
    void relay(Base::Instant now, const std::vector<Wire::GatewayReport> &reports);
    /// Reports that another registry has heard; newer ones replace what is held.
    void merge(Base::Instant now, const std::vector<Wire::GatewayReport> &reports);

    /// Reports heard directly or relayed within the silence limit, for other registries.
    std::vector<Wire::GatewayReport> heardDirectly(Base::Instant now) const;

    /// Gateways that callers may use now, ordered by id.
    std::vector<Wire::GatewayRecord> serving(Base::Instant now) const;

    /// Forgets gateways that have been silent for long.
    void tick(Base::Instant now);

private:
    struct Entry
    {
        Wire::GatewayRecord gateway;
        Base::Instant reportedAt;
        bool direct = false;
    };

    void put(const Wire::GatewayRecord &gateway, Base::Instant reportedAt, bool direct);

    std::map<std::string, Entry> entries_; ///< By gateway id.
};

/// Digest of a directory or a server list, equal for equal content on all nodes.
std::uint64_t digestOf(const std::vector<Wire::GatewayRecord> &gateways);
std::uint64_t digestOf(const std::vector<Wire::ServerRecord> &servers);

} // namespace Registry
