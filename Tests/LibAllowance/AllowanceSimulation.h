#pragma once

#include "LibAllowance/AllowanceDivider.h"
#include "LibAllowance/AllowanceStock.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Gateways and two registries on logical time, with a network that can lose, delay and repeat messages.
class AllowanceSimulation
{
public:
    struct Network
    {
        double loss = 0.0;
        double repeat = 0.0;
        double late = 0.0; ///< Fraction of messages that take up to `maxLate` more.
        Base::Duration maxLate {};
    };

    struct Counts
    {
        std::size_t spent = 0;
        std::size_t overLimit = 0;
        std::size_t unavailable = 0;
    };

    AllowanceSimulation(std::uint64_t seed, std::size_t gateways, Network network)
        : engine_(seed)
        , network_(network)
        , gateways_(gateways)
    {
        for (auto &gateway : gateways_)
            gateway.stock = std::make_unique<Allowance::AllowanceStock>(engine_());
        leader_ = 0;
        dividers_[0].begin(now_, ++term_);
    }

    Base::Instant now() const { return now_; }
    std::mt19937_64 &engine() { return engine_; }
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }
    std::size_t below(std::size_t bound) { return engine_() % bound; }

    void setTerms(const Allowance::TermsByRule &terms)
    {
        terms_ = terms;
        if (leader_)
            dividers_[*leader_].setTerms(now_, terms_);
    }

    void setCallInterval(Base::Duration interval)
    {
        for (auto &gateway : gateways_)
            gateway.stock->setCallInterval(interval);
    }

    /// Nobody leads from now on, as a lease has run out.
    void loseLeader() { leader_.reset(); }
    void electLeader(std::size_t registry)
    {
        leader_ = registry;
        dividers_[registry].begin(now_, ++term_);
        dividers_[registry].setTerms(now_, terms_);
    }
    bool hasLeader() const { return leader_.has_value(); }

    void freeze(std::size_t gateway, Base::Duration duration)
    {
        gateways_[gateway].frozenUntil = now_ + duration;
    }
    void restart(std::size_t gateway)
    {
        gateways_[gateway].stock = std::make_unique<Allowance::AllowanceStock>(engine_());
        gateways_[gateway].waiting.clear();
        ++gateways_[gateway].generation;
    }

    /// A caller's request; `refusedLater` gives the unit back after a while, as nothing has run. A frozen
    /// gateway takes it up when it wakes.
    void request(std::size_t index, const std::string &key, bool refusedLater = false)
    {
        auto &gateway = gateways_[index];
        if (now_ < gateway.frozenUntil)
            return at(gateway.frozenUntil,
                      [this, index, key, refusedLater] { request(index, key, refusedLater); });
        auto taking = gateway.stock->take(now_, key, now_ + Patience);
        if (taking.kind == Allowance::Taking::Kind::Waiting)
            gateway.waiting.emplace(taking.waiter, std::pair(key, refusedLater));
        else
            conclude(index, key, refusedLater, taking);
        pump(index);
    }

    /// As LibForward takes units for cold servers.
    bool requestAtOnce(std::size_t index, const std::string &key)
    {
        auto &gateway = gateways_[index];
        if (now_ < gateway.frozenUntil)
            return false;
        const bool taken = gateway.stock->take(now_, key).has_value();
        if (taken)
            spentAt_[key].push_back(now_);
        pump(index);
        return taken;
    }

    void advance(Base::Duration step)
    {
        const auto end = now_ + step;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = std::move(events_.extract(events_.begin()).mapped());
            event();
        }
        now_ = end;
        for (std::size_t index = 0; index < gateways_.size(); ++index)
            pump(index);
        if (now_ >= nextSweep_) {
            nextSweep_ = now_ + Base::seconds(1);
            for (auto &gateway : gateways_)
                gateway.stock->sweep(now_);
            for (auto &divider : dividers_)
                divider.sweep(now_);
        }
    }

    const std::vector<Base::Instant> &spentAt(const std::string &key) { return spentAt_[key]; }
    Counts &counts(const std::string &key) { return counts_[key]; }
    std::size_t calls() const { return calls_; }
    std::size_t bytes() const { return bytes_; } ///< Of calls and their answers.
    std::size_t mostKeysHeld() const
    {
        std::size_t most = 0;
        for (const auto &gateway : gateways_)
            most = std::max(most, gateway.stock->keys());
        return most;
    }
    std::size_t buckets() const { return dividers_[*leader_].buckets(); }

private:
    static constexpr Base::Duration Patience = Base::milliseconds(300);
    static constexpr Base::Duration CallTimeout = Base::milliseconds(400);

    struct Gateway
    {
        std::unique_ptr<Allowance::AllowanceStock> stock;
        std::uint64_t generation = 0;
        Base::Instant frozenUntil;
        std::map<Allowance::WaiterId, std::pair<std::string, bool>> waiting;
    };

    void at(Base::Instant time, std::function<void()> event)
    {
        events_.emplace(time, [this, time, event = std::move(event)] {
            now_ = std::max(now_, time);
            event();
        });
    }

    Base::Duration delay()
    {
        auto result = Base::Duration(static_cast<Base::Duration::rep>(1000.0 + 2000.0 * unit()));
        if (unit() < network_.late)
            result += Base::Duration(
                static_cast<Base::Duration::rep>(unit() * static_cast<double>(network_.maxLate.count())));
        return result;
    }

    void send(const std::function<void()> &arrival)
    {
        if (unit() >= network_.loss)
            at(now_ + delay(), arrival);
        if (unit() < network_.repeat)
            at(now_ + delay(), arrival);
    }

    void pump(std::size_t index)
    {
        auto &gateway = gateways_[index];
        if (now_ < gateway.frozenUntil)
            return;
        gateway.stock->runTimers(now_);
        while (auto call = gateway.stock->nextCall(now_)) {
            ++calls_;
            const auto generation = gateway.generation;
            send([this, index, generation, call = *call] { serve(index, generation, call); });
            at(now_ + CallTimeout, [this, index, generation, sequence = call->sequence] {
                whenAwake(index, generation,
                          [this, index, sequence] { gateways_[index].stock->callFailed(now_, sequence); });
            });
        }
        for (auto &decision : gateway.stock->takeDecisions()) {
            const auto found = gateway.waiting.extract(decision.waiter);
            if (found)
                conclude(index, found.mapped().first, found.mapped().second, decision.taking);
        }
    }

    void serve(std::size_t index, std::uint64_t generation, const Allowance::AllowanceStock::Call &call)
    {
        if (!leader_)
            return;
        const auto reply = dividers_[*leader_].take(now_, call.request);
        if (!reply)
            return;
        bytes_ += Wire::encode(call.request).size() + Wire::encode(*reply).size();
        send([this, index, generation, sequence = call.sequence, reply = *reply] {
            whenAwake(index, generation, [this, index, sequence, reply] {
                gateways_[index].stock->callAnswered(now_, sequence, reply);
            });
        });
    }

    /// What arrives at a frozen gateway is handled when it wakes.
    void whenAwake(std::size_t index, std::uint64_t generation, const std::function<void()> &event)
    {
        auto &gateway = gateways_[index];
        if (gateway.generation != generation)
            return;
        if (now_ < gateway.frozenUntil)
            return at(gateway.frozenUntil,
                      [this, index, generation, event] { whenAwake(index, generation, event); });
        event();
        pump(index);
    }

    void conclude(std::size_t index, const std::string &key, bool refusedLater,
                  const Allowance::Taking &taking)
    {
        auto &counts = counts_[key];
        if (taking.kind == Allowance::Taking::Kind::OverLimit)
            ++counts.overLimit;
        if (taking.kind == Allowance::Taking::Kind::Unavailable)
            ++counts.unavailable;
        if (taking.kind != Allowance::Taking::Kind::Granted)
            return;
        if (!refusedLater) {
            ++counts.spent;
            spentAt_[taking.unit.key].push_back(now_);
            return;
        }
        const auto generation = gateways_[index].generation;
        at(now_ + Base::Duration(static_cast<Base::Duration::rep>(unit() * 3e6)),
           [this, index, generation, unit = taking.unit] {
               whenAwake(index, generation, [this, index, unit] {
                   gateways_[index].stock->giveBack(now_, unit.key, unit.validUntil);
               });
           });
    }

    std::mt19937_64 engine_;
    Network network_;
    Base::Instant now_ {Base::seconds(1000)};
    Base::Instant nextSweep_;
    std::vector<Gateway> gateways_;
    std::array<Allowance::AllowanceDivider, 2> dividers_;
    std::optional<std::size_t> leader_;
    std::uint64_t term_ = 0;
    Allowance::TermsByRule terms_;
    std::multimap<Base::Instant, std::function<void()>> events_;
    std::map<std::string, std::vector<Base::Instant>> spentAt_;
    std::map<std::string, Counts> counts_;
    std::size_t calls_ = 0;
    std::size_t bytes_ = 0;
};
