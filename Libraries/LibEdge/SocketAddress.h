#pragma once

#include "LibBase/Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace Edge {

/// Parses "ip:port"; fails with SettingInvalid.
Base::Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace Edge
