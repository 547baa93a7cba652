#include "LibEdge/SocketAddress.h"

#include "LibBase/AddressText.h"

#include <fmt/format.h>

namespace Edge {

Base::Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const auto parts = Base::parseAddress(address);
    boost::system::error_code error;
    if (parts) {
        const auto ip = boost::asio::ip::make_address(parts->ip, error);
        if (!error)
            return boost::asio::ip::tcp::endpoint(ip, parts->port);
    }
    return Base::fail(Base::ErrorKind::SettingInvalid,
                      fmt::format("\"{}\" is no address; accepted: ip:port", address));
}

} // namespace Edge
