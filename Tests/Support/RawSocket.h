#pragma once

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>

namespace Support {

/// A blocking loopback socket for sending input that no correct client or server would send.
class RawSocket
{
public:
    explicit RawSocket(int descriptor)
        : descriptor_(descriptor)
    {
    }
    ~RawSocket() { close(); }
    RawSocket(RawSocket &&other) noexcept
        : descriptor_(other.descriptor_)
    {
        other.descriptor_ = -1;
    }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    /// Connects to "127.0.0.1:port".
    static RawSocket connectTo(const std::string &address)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto target =
            loopback(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        std::ignore = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
        return RawSocket(descriptor);
    }

    /// Listens on a port chosen by the kernel. With a backlog of 0, the kernel drops the opening packets of
    /// all connections after the first one that is not accepted.
    static RawSocket listening(int backlog = 16)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto target = loopback(0);
        std::ignore = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
        ::listen(descriptor, backlog);
        return RawSocket(descriptor);
    }

    RawSocket accept() const { return RawSocket(::accept(descriptor_, nullptr, nullptr)); }

    std::string address() const
    {
        sockaddr_in bound {};
        socklen_t size = sizeof(bound);
        getsockname(descriptor_, reinterpret_cast<sockaddr *>(&bound), &size);
        return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    }

    /// Returns false when the connection has ended.
    bool send(std::string_view data) const
    {
        return ::send(descriptor_, data.data(), data.size(), MSG_NOSIGNAL) >= 0;
    }

    /// Reads some bytes; empty when the peer closed or reset the connection.
    std::string receive() const
    {
        std::array<char, 65536> buffer {};
        const auto count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
        return count > 0 ? std::string(buffer.data(), static_cast<std::size_t>(count)) : std::string();
    }

    /// Reads until the peer closes the connection.
    std::string receiveAll() const
    {
        std::string all;
        for (auto piece = receive(); !piece.empty(); piece = receive())
            all += piece;
        return all;
    }

    /// Reads until the text contains `mark` or the peer closes the connection.
    std::string receiveUntil(std::string_view mark) const
    {
        std::string all;
        while (all.find(mark) == std::string::npos) {
            const auto piece = receive();
            if (piece.empty())
                break;
            all += piece;
        }
        return all;
    }

    /// Ends the sending direction only.
    void finishSending() const { ::shutdown(descriptor_, SHUT_WR); }

    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }

    int descriptor() const { return descriptor_; }

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int descriptor_;
};

} // namespace Support
