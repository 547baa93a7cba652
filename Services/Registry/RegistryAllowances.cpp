// Bounded rates that all gateways share: tenants' allowances and the requests of cold servers. The leader
// divides them from memory.

#include "LibAllowance/AllowanceKey.h"
#include "LibBase/Compression.h"
#include "Services/Registry/RegistryProcess.h"

#include <algorithm>

namespace Services {

namespace {

using Importance = Base::EventLog::Importance;

constexpr Base::Duration SweepInterval = Base::seconds(1);
constexpr Base::Duration RefusalLineInterval = Base::seconds(1);
/// For deployments that state limits but no window.
constexpr Allowance::Tolerance DefaultTolerance {Base::seconds(5), 0.1, 1.0};

} // namespace

void RegistryProcess::takeAllowance(const Wire::TakeAllowanceRequest &request,
                                    const ResponderPointer &responder)
{
    const auto now = clock_.now();
    // A leader whose lease has run out could add up with the next one.
    if (!cluster_ || !cluster_->core().isUpToDateLeader(now)) {
        Wire::TakeAllowanceReply reply;
        if (cluster_)
            reply.leaderAddress = leaderAddress(cluster_->raft().status(now));
        return responder->reply(Wire::encode(reply));
    }
    watchAllowances(now);
    updateAllowanceTerms(now);
    const auto reply = allowances_.take(now, request);
    if (reply)
        return responder->reply(Wire::encode(*reply));
    responder->fail(reply.error());
    if (now < nextAllowanceRefusalLine_)
        return;
    nextAllowanceRefusalLine_ = now + RefusalLineInterval;
    events_.write(now, Importance::Notable, "allowance_request_refused", {{"detail", reply.error().detail}});
}

/// Notes since when this node leads and since when its configuration holds, because buckets earn from then
/// on.
void RegistryProcess::watchAllowances(Base::Instant now)
{
    const auto version = cluster_->core().configuration().version();
    if (std::exchange(seenVersion_, version) != version)
        configurationSeenAt_ = now;
    if (!isLeader(now))
        return;
    const auto term = cluster_->raft().status(now).term;
    if (allowances_.term() != term) {
        ledSince_ = now;
        allowances_.begin(now, term);
    }
    if (now < nextAllowanceSweep_)
        return;
    nextAllowanceSweep_ = now + SweepInterval;
    if (allowances_.buckets() == 0 && allowances_.unitsGranted() + allowances_.unitsDenied() == 0)
        return;
    allowances_.sweep(now);
    metrics_.gauge("daisyroute_allowance_buckets", "Keys whose allowance is partly used.")
        .set(static_cast<double>(allowances_.buckets()));
    metrics_.counter("daisyroute_allowance_units_granted_total", "Units handed out to gateways.")
        .raiseTo(allowances_.unitsGranted());
    metrics_.counter("daisyroute_allowance_units_denied_total", "Units that gateways needed and did not get.")
        .raiseTo(allowances_.unitsDenied());
}

/// Decodes the configuration when a gateway asks for the first time since it changed; so deployments without
/// limits never do. Only what differs from the one before is decoded: in a storm of changes, decoding
/// thousands of tenants for each would hold up the loop that sends heartbeats. Returns false if it cannot be
/// decoded, and the one before holds.
bool RegistryProcess::readAllowanceConfiguration(Base::Instant now)
{
    const auto &held = cluster_->core().configuration();
    allowanceVersion_ = held.version();
    auto configuration =
        Base::decompress(held.text(), MaxConfigurationBytes).and_then([this](const std::string &text) {
            return adapter_.decodeConfiguration(text, allowanceConfiguration_ ? &*allowanceConfiguration_
                                                                              : nullptr);
        });
    if (configuration)
        allowanceConfiguration_ = std::move(*configuration);
    else
        events_.write(now, Importance::Notable, "configuration_refused",
                      {{"version", held.version()}, {"detail", configuration.error().detail}});
    return configuration.has_value();
}

RegistryProcess::AllowanceTolerances RegistryProcess::allowanceTolerances() const
{
    AllowanceTolerances tolerances;
    tolerances.tenants = {settings_.allowanceWindow, settings_.allowanceOverage, settings_.allowanceSlack};
    if (tolerances.tenants.window <= Base::Duration::zero())
        tolerances.tenants = DefaultTolerance;
    tolerances.coldServers = {Base::seconds(1), std::max(0.0, settings_.coldOverage - 1.0),
                              settings_.coldSlack};
    return tolerances;
}

/// Works out the terms anew if the configuration or the tolerances have changed. Where a tolerance falls, the
/// divider clips the levels, and units already handed out end within the validity that they were given.
void RegistryProcess::updateAllowanceTerms(Base::Instant now)
{
    const auto tolerances = allowanceTolerances();
    const bool isNewVersion = cluster_->core().configuration().version() != allowanceVersion_;
    if (!isNewVersion && tolerances == allowanceTolerances_)
        return;
    if (isNewVersion && !readAllowanceConfiguration(now))
        return;
    allowanceTolerances_ = tolerances;
    if (!allowanceConfiguration_)
        return;
    Allowance::TermsByRule terms;
    for (const auto &tenant : allowanceConfiguration_->tenantRules()) {
        if (tenant.requestsPerSecond > 0.0)
            terms.emplace(Allowance::tenantKey(tenant.name),
                          Allowance::termsFor({tenant.requestsPerSecond, tenant.burst}, tolerances.tenants));
    }
    for (const auto &[name, service] : allowanceConfiguration_->services) {
        if (service.coldRequestsPerSecond > 0.0)
            terms.emplace(Allowance::coldServiceRule(name),
                          Allowance::termsFor({service.coldRequestsPerSecond, 0.0}, tolerances.coldServers));
    }
    allowances_.setTerms(now, terms, std::max(ledSince_, configurationSeenAt_));
    events_.write(now, Importance::Notable, "allowances_in_force",
                  {{"version", allowanceConfiguration_->version},
                   {"rules", terms.size()},
                   {"window_ms", Base::toMilliseconds(tolerances.tenants.window)},
                   {"overage", tolerances.tenants.overage},
                   {"slack", tolerances.tenants.slack}});
}

} // namespace Services
