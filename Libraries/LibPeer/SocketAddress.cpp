#include "LibPeer/SocketAddress.h"

#include <array>
#include <cstring>
#include <fmt/format.h>
#include <memory>
#include <netdb.h>

namespace Peer {

Base::Result<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return Base::fail(Base::ErrorKind::SettingInvalid, fmt::format("address '{}' has no port", text));
    auto host = std::string(text.substr(0, colon));
    const auto port = std::string(text.substr(colon + 1));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);

    addrinfo hints {};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo *found = nullptr;
    if (host.empty() || port.empty() || getaddrinfo(host.c_str(), port.c_str(), &hints, &found) != 0)
        return Base::fail(Base::ErrorKind::SettingInvalid, fmt::format("address '{}' is not ip:port", text));
    const std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> owner(found, &freeaddrinfo);

    SocketAddress address;
    std::memcpy(&address.storage_, found->ai_addr, found->ai_addrlen);
    address.size_ = found->ai_addrlen;
    return address;
}

SocketAddress SocketAddress::ofSocket(int socket)
{
    return read(socket, &getsockname);
}

SocketAddress SocketAddress::ofPeer(int socket)
{
    return read(socket, &getpeername);
}

SocketAddress SocketAddress::read(int socket, NameCall nameCall)
{
    SocketAddress address;
    address.size_ = sizeof(address.storage_);
    nameCall(socket, reinterpret_cast<sockaddr *>(&address.storage_), &address.size_);
    return address;
}

std::string SocketAddress::toString() const
{
    std::array<char, NI_MAXHOST> host {};
    std::array<char, NI_MAXSERV> port {};
    if (getnameinfo(data(), size_, host.data(), host.size(), port.data(), port.size(),
                    NI_NUMERICHOST | NI_NUMERICSERV)
        != 0)
        return "unknown";
    if (family() == AF_INET6)
        return fmt::format("[{}]:{}", host.data(), port.data());
    return fmt::format("{}:{}", host.data(), port.data());
}

} // namespace Peer
