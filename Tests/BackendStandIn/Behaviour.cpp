#include "BackendStandIn/Behaviour.h"

#include <cmath>

namespace StandIn {

double Behaviour::drawServiceMs(std::mt19937_64 &random, bool cold) const
{
    std::lognormal_distribution<double> serviceTime(std::log(medianMs), sigma);
    std::uniform_real_distribution<double> unit(0, 1);
    double service = serviceTime(random) * slowFactor;
    if (unit(random) < stragglerProbability)
        service *= stragglerFactor;
    return cold ? service * coldFactor : service;
}

Base::Result<Behaviour> changed(const Behaviour &behaviour, const nlohmann::json &changes)
{
    nlohmann::json fields = behaviour;
    for (const auto &[name, value] : changes.items()) {
        if (!fields.contains(name))
            return Base::fail(Base::ErrorKind::InvalidRequest, name + " is no field of a behaviour");
        fields[name] = value;
    }
    try {
        return fields.get<Behaviour>();
    } catch (const nlohmann::json::exception &error) {
        return Base::fail(Base::ErrorKind::InvalidRequest, error.what());
    }
}

} // namespace StandIn
