#include "LibControl/Commands.h"

#include <array>
#include <utility>

namespace Control {

namespace {

using Decoder = Base::Result<Command> (*)(Base::ByteView);

template<typename Alternative>
Base::Result<Command> decodeAs(Base::ByteView payload)
{
    return Wire::decode<Alternative>(payload).map(
        [](Alternative &&value) { return Command(std::move(value)); });
}

template<std::size_t... Indexes>
constexpr auto makeDecoders(std::index_sequence<Indexes...>)
{
    return std::array<Decoder, sizeof...(Indexes)> {
        &decodeAs<std::variant_alternative_t<Indexes, Command>>...};
}

constexpr auto Decoders = makeDecoders(std::make_index_sequence<std::variant_size_v<Command>> {});

} // namespace

Base::Bytes encodeCommand(const Command &command)
{
    auto payload = std::visit([](const auto &value) { return Wire::encode(value); }, command);
    payload.insert(payload.begin(), static_cast<std::uint8_t>(command.index()));
    return payload;
}

Base::Result<Command> decodeCommand(Base::ByteView payload)
{
    if (payload.empty() || payload.front() >= Decoders.size())
        return Base::fail(Base::ErrorKind::MalformedMessage, "unknown command type");
    return Decoders[payload.front()](payload.subspan(1));
}

} // namespace Control
