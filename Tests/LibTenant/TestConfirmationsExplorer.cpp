// Confirmations on their way from the leader to gateways, on logical time with clocks that differ: whatever
// is late, lost, frozen or reordered, no gateway serves a key past the bound after it was taken away.

#include "LibBase/RandomSource.h"
#include "LibTenant/Authenticator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Base::milliseconds;

constexpr Base::Duration Bound = Base::seconds(5);
constexpr int Registries = 3;
constexpr int Gateways = 4;

/// A confirmation in a reply that has not arrived yet.
struct Reply
{
    int receiver = 0; ///< Registries first, then gateways.
    Base::Instant sentAt; ///< Of the request, by the receiver's clock.
    std::uint64_t version = 0;
    std::uint32_t beforeMs = 0;
    Base::Duration arrivesAt {}; ///< True time.
};

std::shared_ptr<const Route::RouteTable> tableOf(std::uint64_t version)
{
    Route::Configuration configuration;
    configuration.version = version;
    Route::RouteRule route;
    route.host = "h";
    route.prefix = "/";
    configuration.routes.push_back(route);
    Route::TenantRule tenant;
    tenant.name = "a";
    tenant.keys = {Route::digestOfKey(std::to_string(version))}; // Each version takes the key before away.
    configuration.tenants = {tenant};
    configuration.tenantsDigest = version;
    return std::make_shared<const Route::RouteTable>(std::move(configuration));
}

/// Registries and gateways with clocks of their own, and messages that take any time. A leader is only what
/// it tells: at an instant of the past, it knew which version was the newest.
class World
{
public:
    explicit World(std::uint64_t seed)
        : random_(seed)
    {
        for (auto &offset : clockOffsets_)
            offset = milliseconds(random_.below(10'000'000));
        for (auto &gateway : gateways_)
            gateway.setKeyRemovalBound(Bound);
        accept();
    }

    void step()
    {
        now_ += milliseconds(random_.below(400));
        switch (random_.below(8)) {
        case 0:
            if (random_.below(4) == 0)
                accept();
            break;
        case 1:
            learn(static_cast<int>(random_.below(Registries + Gateways)));
            break;
        case 2:
            restart(static_cast<int>(random_.below(Registries + Gateways)));
            break;
        case 3:
        case 4:
            askLeader(static_cast<int>(random_.below(Registries)));
            break;
        default:
            askForGateway(static_cast<int>(random_.below(Gateways)));
        }
        deliver();
        check();
    }

    std::uint64_t served() const { return served_; }
    std::string violation;

private:
    Base::Instant clockOf(int node, Base::Duration trueTime) const
    {
        return Base::Instant(trueTime + clockOffsets_[static_cast<std::size_t>(node)]);
    }

    std::uint64_t newestAt(Base::Duration trueTime) const
    {
        std::uint64_t version = 0;
        for (std::size_t index = 0; index < acceptedAt_.size() && acceptedAt_[index] <= trueTime; ++index)
            version = index + 1;
        return version;
    }

    void accept() { acceptedAt_.push_back(now_); }

    /// A node gets the newest configuration.
    void learn(int node)
    {
        const auto version = newestAt(now_);
        if (node < Registries)
            registries_[static_cast<std::size_t>(node)].hold(heldBy(node) = version);
        else if (heldBy(node) < version)
            gateways_[static_cast<std::size_t>(node - Registries)].setTable(tableOf(heldBy(node) = version));
    }

    /// Replies to the process before are still on their way.
    void restart(int node)
    {
        if (random_.below(3) != 0)
            return;
        replies_.erase(std::remove_if(replies_.begin(), replies_.end(),
                                      [&](const auto &reply) { return reply.receiver == node; }),
                       replies_.end());
        if (node < Registries) {
            registries_[static_cast<std::size_t>(node)] = {};
            registries_[static_cast<std::size_t>(node)].hold(heldBy(node));
            return;
        }
        // It may get an old configuration from a gateway that is out of touch as well.
        auto &gateway = gateways_[static_cast<std::size_t>(node - Registries)];
        gateway = Tenant::Authenticator(Bound);
        heldBy(node) = 1 + random_.below(newestAt(now_));
        gateway.setTable(tableOf(heldBy(node)));
    }

    /// Mostly short; a frozen process or a long queue now and then.
    Base::Duration delay()
    {
        return random_.below(6) == 0 ? milliseconds(random_.below(20'000)) : milliseconds(random_.below(80));
    }

    void askLeader(int registry)
    {
        const auto arrival = now_ + delay();
        // The leader heard its majority some time before, or has been deposed and frozen since.
        const auto confirmed = std::max(Base::Duration::zero(), arrival - delay());
        Tenant::ConfigurationCurrency leader;
        const auto version = newestAt(confirmed);
        leader.hold(version);
        leader.confirm(version, Base::Instant(confirmed));
        reply(registry, arrival, version, leader.confirmedBeforeMs(Base::Instant(arrival)));
    }

    /// A registry answers, or a gateway that relays.
    void askForGateway(int gateway)
    {
        const auto callee = static_cast<int>(random_.below(Registries + Gateways));
        const auto arrival = now_ + milliseconds(random_.below(60));
        const auto &currency = callee < Registries
                                   ? registries_[static_cast<std::size_t>(callee)]
                                   : gateways_[static_cast<std::size_t>(callee - Registries)].currency();
        if (random_.below(5) != 0) // Otherwise the request is lost.
            reply(Registries + gateway, arrival, heldBy(callee),
                  currency.confirmedBeforeMs(clockOf(callee, arrival)));
    }

    void reply(int receiver, Base::Duration arrival, std::uint64_t version,
               std::optional<std::uint32_t> before)
    {
        if (before)
            replies_.push_back({receiver, clockOf(receiver, now_), version, *before, arrival + delay()});
    }

    void deliver()
    {
        std::vector<Reply> later;
        for (const auto &reply : std::exchange(replies_, {})) {
            const auto at = reply.sentAt - milliseconds(reply.beforeMs);
            if (reply.arrivesAt > now_)
                later.push_back(reply);
            else if (reply.receiver < Registries)
                registries_[static_cast<std::size_t>(reply.receiver)].confirm(reply.version, at);
            else
                gateways_[static_cast<std::size_t>(reply.receiver - Registries)].confirm(reply.version, at);
        }
        replies_.insert(replies_.end(), later.begin(), later.end());
    }

    void check()
    {
        for (int index = 0; index < Gateways; ++index) {
            const auto node = Registries + index;
            const auto version = heldBy(node);
            if (version == 0)
                continue;
            const auto &gateway = gateways_[static_cast<std::size_t>(index)];
            const std::string key = std::to_string(version);
            const std::string_view keys[] {key};
            const auto verdict =
                gateway.check(clockOf(node, now_), tableOf(version)->configuration().routes[0], keys);
            if (verdict.tenant == nullptr)
                continue;
            ++served_;
            if (version < acceptedAt_.size() && now_ > acceptedAt_[version] + Bound)
                violation = "gateway " + std::to_string(index) + " served a key past the bound";
        }
    }

    std::uint64_t &heldBy(int node) { return held_[static_cast<std::size_t>(node)]; }
    std::uint64_t heldBy(int node) const { return held_[static_cast<std::size_t>(node)]; }

    Base::RandomSource random_;
    Base::Duration now_ = Base::seconds(100);
    std::array<Base::Duration, Registries + Gateways> clockOffsets_ {};
    std::array<std::uint64_t, Registries + Gateways> held_ {};
    std::array<Tenant::ConfigurationCurrency, Registries> registries_;
    std::array<Tenant::Authenticator, Gateways> gateways_;
    std::vector<Base::Duration> acceptedAt_; ///< True time, by version less 1.
    std::vector<Reply> replies_;
    std::uint64_t served_ = 0;
};

} // namespace

RC_GTEST_PROP(ConfirmationsExplorer, NoKeyIsServedPastTheBound, (std::uint64_t seed))
{
    World world(seed);
    for (int step = 0; step < 400; ++step) {
        world.step();
        RC_ASSERT(world.violation.empty());
    }
    RC_CLASSIFY(world.served() > 100, "served more than 100 times");
}
