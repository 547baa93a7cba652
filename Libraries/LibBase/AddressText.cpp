#include "LibBase/AddressText.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace Base {

namespace {

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), port);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return port;
}

bool isIp(int family, const std::string &text)
{
    std::array<std::uint8_t, sizeof(in6_addr)> parsed {};
    return inet_pton(family, text.c_str(), parsed.data()) == 1;
}

} // namespace

std::optional<AddressParts> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos)
        return std::nullopt;
    const auto port = parsePort(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    std::string ip(host);
    if (!isIp(bracketed ? AF_INET6 : AF_INET, ip))
        return std::nullopt;
    return AddressParts {std::move(ip), *port};
}

} // namespace Base
