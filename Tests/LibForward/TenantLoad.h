#pragma once

#include "LibForward/ForwardFixture.h"

#include <cmath>
#include <numeric>

namespace Tests {

/// Steady demand of one tenant, or of callers without one, for one path.
struct Demand
{
    std::size_t tenant = 0;
    double perSecond = 0.0;
    std::string path = "/s/x";
    unsigned repeats = 0; ///< How often a caller sends a refused request again at once.
};

struct Served
{
    unsigned asked = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    unsigned refused = 0;

    double inTimeShare() const { return asked == 0 ? 1.0 : static_cast<double>(inTime) / asked; }
    double servedShare() const { return asked == 0 ? 1.0 : static_cast<double>(inTime + late) / asked; }
};

/// Tenants whose callers send to servers that run 400 requests a second of one service, or 400 gathers.
class TenantLoad : public ForwardFixture
{
protected:
    static constexpr std::size_t Tenants = 20;
    static constexpr double Capacity = 400.0;
    static constexpr Base::Duration ServiceTime = milliseconds(10);

    /// Usual demand of a tenant, a few of them large, adding up to `total`.
    static double usualOf(std::size_t tenant, double total)
    {
        double sum = 0.0;
        for (std::size_t index = 0; index < Tenants; ++index)
            sum += 1.0 / std::pow(static_cast<double>(index) + 1.0, 1.2);
        return total / std::pow(static_cast<double>(tenant) + 1.0, 1.2) / sum;
    }

    static std::vector<Demand> usualDemand(double total, const std::string &path = "/s/x")
    {
        std::vector<Demand> demands;
        for (std::size_t tenant = 0; tenant < Tenants; ++tenant)
            demands.push_back({tenant, usualOf(tenant, total), path});
        return demands;
    }

    /// Gives the configuration tenants whose allowances fit a usual demand.
    void useTenants()
    {
        auto configuration = makeTable()->configuration();
        auto &tenants = configuration.tenants.emplace();
        for (std::size_t index = 0; index < Tenants; ++index) {
            Route::TenantRule tenant;
            tenant.name = fmt::format("t{}", index);
            tenant.requestsPerSecond = 1.6 * usualOf(index, Capacity);
            tenants.push_back(std::move(tenant));
        }
        auto second = configuration.routes[1];
        second.name = "second";
        second.prefix = "/low/";
        second.rank = 3;
        configuration.routes.push_back(second);
        table = std::make_shared<const Route::RouteTable>(std::move(configuration));
        tenantsKnown = true;
    }

    Forward::ExchangeId beginFor(std::size_t tenant, const std::string &path)
    {
        Forward::RequestFacts facts {
            table, table->find("h", path), milliseconds(1000), {.network = milliseconds(10)}};
        if (tenantsKnown && tenant < Tenants)
            facts.tenant = &table->configuration().tenantRules()[tenant];
        const auto id = core->begin(now, facts);
        collect();
        return id;
    }

    /// Plays the demands for `time`; the first second does not count.
    std::vector<Served> play(const std::vector<Demand> &demands, Base::Duration time)
    {
        struct Caller
        {
            std::size_t demand = 0;
            Base::Instant startedAt;
            unsigned repeatsLeft = 0;
        };
        std::vector<Served> served(demands.size());
        std::map<Forward::ExchangeId, Caller> callers;
        QueueingServers servers(ServiceTime);
        Base::RandomSource random(7);
        const auto startedAt = now;
        const auto countFrom = startedAt + Base::seconds(1);
        std::size_t read = answers.size();
        const auto readAnswers = [&] {
            for (; read < answers.size(); ++read) {
                const auto found = callers.find(answers[read].exchange);
                if (found == callers.end())
                    continue;
                auto caller = found->second;
                callers.erase(found);
                auto &count = served[caller.demand];
                const bool refused = answers[read].outcome.kind == Forward::Outcome::Kind::Refused;
                const auto &outcome = answers[read].outcome;
                if (refused && outcome.attempts > 0
                    && Base::errorAnswer(outcome.error).runState == Base::RunState::NotRun)
                    ++refusedAfterSend;
                if (refused && caller.repeatsLeft > 0) {
                    --caller.repeatsLeft;
                    callers[beginFor(demands[caller.demand].tenant, demands[caller.demand].path)] = caller;
                } else if (caller.startedAt >= countFrom) {
                    const auto limit = caller.startedAt + milliseconds(90);
                    ++count.asked;
                    ++(refused ? count.refused : now <= limit ? count.inTime : count.late);
                }
            }
        };
        while (now - startedAt < time || !callers.empty()) {
            for (std::size_t index = 0; index < demands.size() && now - startedAt < time; ++index) {
                // Arrivals at random moments, at most one in each millisecond.
                if (random.unit() < demands[index].perSecond / 1000.0)
                    callers[beginFor(demands[index].tenant, demands[index].path)] = {index, now,
                                                                                     demands[index].repeats};
                readAnswers();
            }
            runServers(servers, milliseconds(1));
            takeSends(servers);
            readAnswers();
        }
        return served;
    }

    static Served sum(const std::vector<Served> &all, const std::vector<std::size_t> &without = {})
    {
        Served total;
        for (std::size_t index = 0; index < all.size(); ++index) {
            if (std::find(without.begin(), without.end(), index) != without.end())
                continue;
            total.asked += all[index].asked;
            total.inTime += all[index].inTime;
            total.late += all[index].late;
            total.refused += all[index].refused;
        }
        return total;
    }

    /// In-time share of all tenants but those in `hot`, which send eight times their usual if `heated`.
    double othersInTime(bool fair, const std::vector<std::size_t> &hot, bool heated, unsigned repeats = 0,
                        const std::string &path = "/s/x")
    {
        table = makeTable();
        tenantsKnown = false;
        if (fair)
            useTenants();
        useOptions({"dc-a", 1, 0.2, 1000.0});
        auto demands = usualDemand(0.8 * Capacity, path);
        for (const auto tenant : hot) {
            demands[tenant].perSecond *= heated ? 8.0 : 1.0;
            demands[tenant].repeats = repeats;
        }
        const auto served = play(demands, Base::seconds(path == "/g/x" ? 2 : 4));
        hotServed = served[hot.front()];
        fmt::print("fair {} heated {} repeats {} {}: others {:.4f} of {}, hot {:.4f} of {}\n", fair, heated,
                   repeats, path, sum(served, hot).inTimeShare(), sum(served, hot).asked,
                   hotServed.inTimeShare(), hotServed.asked);
        return sum(served, hot).inTimeShare();
    }

    bool tenantsKnown = false;
    unsigned refusedAfterSend = 0;
    Served hotServed;
};

} // namespace Tests
