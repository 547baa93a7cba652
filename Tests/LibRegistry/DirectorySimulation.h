#pragma once

#include "LibRegistry/BusyMeter.h"
#include "LibRegistry/CallerShare.h"
#include "LibRegistry/GatewayChoice.h"
#include "LibRegistry/GatewayNaming.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <fmt/format.h>
#include <random>
#include <string>
#include <vector>

/// Callers and gateways on logical time. Callers keep a list for 5 s, every third one for 15 s, stay with an
/// open connection as long as the list names its gateway, and pick at random for a new one. Gateways work off
/// requests one after the other, report their share each second, and look-ups act on it half a second later.
class DirectorySimulation
{
public:
    static constexpr std::size_t DataCentres = 3;
    static constexpr std::size_t GatewaysPerDataCentre = 4; ///< One of speed 2.5 and three of speed 1.
    static constexpr std::size_t MaxNamed = 24;
    static constexpr double FastSpeed = 2.5;
    /// Of one request at speed 1: the parts of a gather, worked off in one go.
    static constexpr Base::Duration Work = Base::milliseconds(30);
    static constexpr Base::Duration Target = Base::milliseconds(150);

    struct Gateway
    {
        Wire::GatewayRecord record;
        double speed = 1.0;
        bool isNamedByClass = false;
        Base::Instant workEnds;
        Registry::BusyMeter meter;
        Registry::CallerShare share;
        // Since the last call of beginWindow().
        std::uint64_t requests = 0;
        std::uint64_t late = 0;
        std::uint8_t lowest = Wire::FullCallerShare;
        std::uint8_t highest = 0;
        int turns = 0; ///< Changes of direction of the reported share by two sixteenths or more.
        int direction = 0;
        std::uint8_t extreme = Wire::FullCallerShare; ///< The share from which a turn is counted.
    };

    /// `alike` gives all gateways the class of the fast ones, whatever their speed.
    DirectorySimulation(Registry::GatewayNaming::Rule rule, std::size_t callers, double requestsPerSecond,
                        std::uint64_t seed, bool alike)
        : random_(seed)
        , requestsPerSecond_(requestsPerSecond)
        , namings_(DataCentres, Registry::GatewayNaming(rule))
    {
        for (std::size_t index = 0; index < DataCentres * GatewaysPerDataCentre; ++index) {
            const bool fast = index < DataCentres;
            const auto id = fmt::format("vm-{:02}", index);
            Gateway gateway;
            gateway.record = {id,
                              1,
                              id,
                              fmt::format("dc-{}", index % DataCentres),
                              Wire::GatewayState::Serving,
                              fast || alike ? 0.3 : 0.12,
                              true};
            gateway.speed = fast ? FastSpeed : 1.0;
            gateways_.push_back(std::move(gateway));
        }
        for (const auto &chosen : Registry::selectGateways(records(), MaxNamed))
            gateways_[indexOf(chosen)].isNamedByClass = true;
        publish();
        for (std::size_t index = 0; index < callers; ++index) {
            callers_.push_back({index % DataCentres, index % 3 == 0 ? LongListAge : ListAge, {}, {}, 0});
            lookUp(callers_.back());
            // The first lists end at different times, as if the callers had come one after the other.
            callers_.back().listEnds = now_ + ListAge * static_cast<int>(index) / static_cast<int>(callers);
        }
    }

    void run(Base::Duration time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += Step)
            step();
    }

    /// Half of the callers of one data centre appear in another one, without a list.
    void moveHalf(std::size_t from, std::size_t to)
    {
        bool moves = false;
        for (auto &caller : callers_) {
            if (caller.dataCentre != from)
                continue;
            moves = !moves;
            if (!moves)
                continue;
            caller.dataCentre = to;
            caller.list.clear();
            lookUp(caller);
        }
    }

    void setRequestRate(double perSecond) { requestsPerSecond_ = perSecond; }

    void beginWindow()
    {
        for (auto &gateway : gateways_) {
            gateway.requests = gateway.late = 0;
            gateway.turns = gateway.direction = 0;
            gateway.lowest = gateway.highest = gateway.extreme = gateway.share.sixteenths();
        }
        lowestSum_ = highestSum_ = sumOfShares();
    }

    int sumOfShares() const
    {
        int sum = 0;
        for (const auto &gateway : gateways_)
            sum += gateway.share.sixteenths();
        return sum;
    }

    /// How far the sum of all reported shares has moved in the window, in sixteenths.
    int swingOfSum() const { return highestSum_ - lowestSum_; }
    int mostTurns() const
    {
        int most = 0;
        for (const auto &gateway : gateways_)
            most = std::max(most, gateway.turns);
        return most;
    }

    const std::vector<Gateway> &gateways() const { return gateways_; }

    /// Fraction of the requests of the window that went to those gateways of speed 1 which the list by class
    /// names: they are hot with it.
    double fractionAtSlowOnes() const
    {
        std::uint64_t slow = 0;
        for (const auto &gateway : gateways_)
            slow += gateway.speed < FastSpeed && gateway.isNamedByClass ? gateway.requests : 0;
        return static_cast<double>(slow) / static_cast<double>(total(&Gateway::requests));
    }

    double lateFraction() const
    {
        return static_cast<double>(total(&Gateway::late)) / static_cast<double>(total(&Gateway::requests));
    }

    /// The most that the reported share of any gateway has moved in the window, in sixteenths.
    int widestSwing() const
    {
        int widest = 0;
        for (const auto &gateway : gateways_)
            widest = std::max(widest, gateway.highest - gateway.lowest);
        return widest;
    }

    std::string describe() const
    {
        std::string text;
        for (const auto &gateway : gateways_)
            text += fmt::format("{} speed={} requests={} late={} share={}..{} turns={} busy={:.2f}\n",
                                gateway.record.gatewayId, gateway.speed, gateway.requests, gateway.late,
                                gateway.lowest, gateway.highest, gateway.turns, gateway.share.busy());
        return text;
    }

private:
    static constexpr Base::Duration Step = Base::milliseconds(10);
    static constexpr Base::Duration Tick = Base::milliseconds(250);
    static constexpr Base::Duration ReportInterval = Base::seconds(1);
    static constexpr Base::Duration ReportDelay = Base::milliseconds(500);
    static constexpr Base::Duration ListAge = Base::seconds(5);
    static constexpr Base::Duration LongListAge = Base::seconds(15);
    /// Part of the requests that open a connection: callers send several at once, and connections end.
    static constexpr double NewConnectionFraction = 0.1;

    struct Caller
    {
        std::size_t dataCentre = 0;
        Base::Duration listAge;
        std::vector<std::size_t> list;
        Base::Instant listEnds;
        std::size_t gateway = 0; ///< Of the open connection.
    };

    std::uint64_t total(std::uint64_t Gateway::*member) const
    {
        std::uint64_t sum = 0;
        for (const auto &gateway : gateways_)
            sum += gateway.*member;
        return sum;
    }

    void step()
    {
        if (now_.time_since_epoch() % ReportInterval == Base::Duration::zero())
            reportAll();
        if (now_.time_since_epoch() % ReportInterval == ReportDelay)
            publish();
        if (now_.time_since_epoch() % Tick == Base::Duration::zero())
            tickAll();
        std::bernoulli_distribution sends(requestsPerSecond_ * std::chrono::duration<double>(Step).count());
        for (auto &caller : callers_) {
            if (sends(random_))
                send(caller);
        }
    }

    void reportAll()
    {
        for (auto &gateway : gateways_) {
            const auto share = gateway.share.sixteenths();
            countTurn(gateway, share);
            gateway.lowest = std::min(gateway.lowest, share);
            gateway.highest = std::max(gateway.highest, share);
            gateway.record.callerShare = share;
        }
        lowestSum_ = std::min(lowestSum_, sumOfShares());
        highestSum_ = std::max(highestSum_, sumOfShares());
    }

    static void countTurn(Gateway &gateway, int share)
    {
        const int moved = share - gateway.extreme;
        if (moved * gateway.direction > 0 || std::abs(moved) >= 2) {
            const int direction = moved > 0 ? 1 : -1;
            gateway.turns += direction == -gateway.direction ? 1 : 0;
            gateway.direction = direction;
            gateway.extreme = static_cast<std::uint8_t>(share);
        }
    }

    std::vector<Wire::GatewayRecord> records() const
    {
        std::vector<Wire::GatewayRecord> records;
        for (const auto &gateway : gateways_)
            records.push_back(gateway.record);
        return records;
    }

    static std::size_t indexOf(const Wire::GatewayRecord &gateway)
    {
        return std::stoul(gateway.gatewayId.substr(3));
    }

    void publish()
    {
        for (auto &naming : namings_)
            naming.setGateways(records(), MaxNamed);
    }

    void tickAll()
    {
        for (auto &gateway : gateways_) {
            const auto wait = std::max(gateway.workEnds - now_, Base::Duration::zero());
            gateway.share.update(now_, gateway.meter.sample(now_, wait));
        }
    }

    void send(Caller &caller)
    {
        if (now_ >= caller.listEnds)
            lookUp(caller);
        if (std::bernoulli_distribution(NewConnectionFraction)(random_))
            connect(caller);
        auto &gateway = gateways_[caller.gateway];
        const auto work = Base::Duration(
            static_cast<Base::Duration::rep>(static_cast<double>(Work.count()) / gateway.speed));
        gateway.workEnds = std::max(gateway.workEnds, now_) + work;
        ++gateway.requests;
        if (gateway.workEnds - now_ > Target)
            ++gateway.late;
    }

    void lookUp(Caller &caller)
    {
        const bool isNew = caller.list.empty();
        caller.list.clear();
        for (const auto *gateway : namings_[caller.dataCentre].nextAnswer())
            caller.list.push_back(indexOf(*gateway));
        caller.listEnds = now_ + caller.listAge;
        if (isNew || std::find(caller.list.begin(), caller.list.end(), caller.gateway) == caller.list.end())
            connect(caller);
    }

    void connect(Caller &caller)
    {
        caller.gateway =
            caller.list[std::uniform_int_distribution<std::size_t>(0, caller.list.size() - 1)(random_)];
    }

    std::mt19937_64 random_;
    double requestsPerSecond_;
    Base::Instant now_ {Base::seconds(1000)};
    std::vector<Gateway> gateways_;
    std::vector<Registry::GatewayNaming> namings_; ///< One gateway in each data centre answers look-ups.
    std::vector<Caller> callers_;
    int lowestSum_ = 0;
    int highestSum_ = 0;
};
