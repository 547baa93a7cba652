#pragma once

#include "LibBase/Time.h"
#include "LibWire/RegistryMessages.h"

#include <map>
#include <string>
#include <vector>

namespace Registry {

/// Gateways known from their own reports, received directly or through other registries. Soft state, rebuilt
/// within a second after a restart.
class GatewayTable
{
public:
    /// Gateways report about three times a second; one without a report for this long is not advertised to
    /// callers.
    static constexpr Base::Duration ReportTimeout = Base::milliseconds(1100);

    /// Records a report received from the gateway itself.
    void report(Base::Instant now, const Wire::GatewayRecord &gateway);
    /// Records reports relayed by another gateway; they count as first-hand, with their age.
    void relay(Base::Instant now, const std::vector<Wire::GatewayReport> &reports);
    /// Records first-hand reports of another registry; newer reports replace older ones.
    void merge(Base::Instant now, const std::vector<Wire::GatewayReport> &reports);

    /// Direct and relayed reports younger than ReportTimeout, to be sent to other registries.
    std::vector<Wire::GatewayReport> firstHandReports(Base::Instant now) const;

    /// Gateways that callers may use now, sorted by id.
    std::vector<Wire::GatewayRecord> serving(Base::Instant now) const;

    /// Removes gateways that have not reported for a long time.
    void tick(Base::Instant now);

private:
    struct Entry
    {
        Wire::GatewayRecord gateway;
        Base::Instant reportedAt;
        bool firstHand = false;
    };

    void update(const Wire::GatewayRecord &gateway, Base::Instant reportedAt, bool firstHand);

    std::map<std::string, Entry> entries_; ///< By gateway id.
};

/// Digest of a directory or a server list, equal for equal content on all nodes.
std::uint64_t digestOf(const std::vector<Wire::GatewayRecord> &gateways);
std::uint64_t digestOf(const std::vector<Wire::ServerRecord> &servers);

} // namespace Registry
