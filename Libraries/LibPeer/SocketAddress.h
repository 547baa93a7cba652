#pragma once

#include "LibBase/Error.h"

#include <string>
#include <string_view>
#include <sys/socket.h>

namespace Peer {

/// A numeric IPv4 or IPv6 address with a port.
class SocketAddress
{
public:
    /// Parses "ip:port" or "[ip]:port"; fails with SettingInvalid. Names are not resolved.
    static Base::Result<SocketAddress> parse(std::string_view text);

    /// Returns the address that `socket` is bound to.
    static SocketAddress ofSocket(int socket);

    /// Returns the address that the connected `socket` leads to.
    static SocketAddress ofPeer(int socket);

    const sockaddr *data() const { return reinterpret_cast<const sockaddr *>(&storage_); }
    socklen_t size() const { return size_; }
    int family() const { return storage_.ss_family; }

    /// Formats as parse() accepts it.
    std::string toString() const;

private:
    using NameCall = int (*)(int, sockaddr *, socklen_t *);

    /// `nameCall` is getsockname or getpeername.
    static SocketAddress read(int socket, NameCall nameCall);

    sockaddr_storage storage_ {};
    socklen_t size_ = 0;
};

} // namespace Peer
