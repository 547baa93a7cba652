#include "LibRegistry/EvacuationRegister.h"

namespace Registry {

namespace {

/// Larger than any order; a configuration of this size or more is not decoded twice.
constexpr std::size_t MaxOrderBytes = 512;

} // namespace

std::optional<OrderEvacuation> decodeEvacuation(Base::ByteView command)
{
    if (command.size() > MaxOrderBytes)
        return std::nullopt;
    auto order = Wire::decode<OrderEvacuation>(command);
    if (!order || order->tag != OrderEvacuation::Tag || order->dataCentre.empty())
        return std::nullopt;
    return std::move(*order);
}

void EvacuationRegister::apply(std::uint64_t index, const OrderEvacuation &order)
{
    revision_ = index;
    if (order.evacuated && hasRoomFor(order.dataCentre))
        dataCentres_.insert(order.dataCentre);
    else if (!order.evacuated)
        dataCentres_.erase(order.dataCentre);
}

void EvacuationRegister::restore(std::uint64_t revision, const std::vector<std::string> &dataCentres)
{
    revision_ = revision;
    dataCentres_ = {dataCentres.begin(), dataCentres.end()};
}

} // namespace Registry
