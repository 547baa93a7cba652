#include "LibHttp/HostAndPort.h"

#include <charconv>
#include <fmt/format.h>

namespace Http {

Base::Result<HostAndPort> HostAndPort::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    const auto failure =
        Base::fail(Base::ErrorKind::SettingInvalid, fmt::format("address '{}' is not ip:port", text));
    if (colon == std::string_view::npos || colon == 0)
        return failure;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    HostAndPort result {std::string(host), 0};
    const auto *begin = text.data() + colon + 1;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(begin, end, result.port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return failure;
    return result;
}

std::string HostAndPort::toString() const
{
    const bool isIpv6 = host.find(':') != std::string::npos;
    return isIpv6 ? fmt::format("[{}]:{}", host, port) : fmt::format("{}:{}", host, port);
}

} // namespace Http
