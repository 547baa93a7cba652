#pragma once

#include "LibWire/Method.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace Peer {

/// Calls that this process made with one method.
struct MethodTraffic
{
    std::uint64_t calls = 0;
    std::uint64_t requestBytes = 0; ///< Payload sent.
    std::uint64_t replyBytes = 0; ///< Payload received.
};

/// Totals of one endpoint's traffic. Thread-safe.
///
/// Calls are counted by the process that makes them, so that a sum over processes counts each call once.
/// Socket bytes include HTTP/2 framing and the traffic of served calls.
class TrafficCounters
{
public:
    void countCall(Wire::Method method, std::size_t requestBytes)
    {
        auto &counters = methods_.at(static_cast<std::size_t>(method));
        add(counters.calls, 1);
        add(counters.requestBytes, requestBytes);
    }
    void countReply(Wire::Method method, std::size_t replyBytes)
    {
        add(methods_.at(static_cast<std::size_t>(method)).replyBytes, replyBytes);
    }
    void countSocketBytesSent(std::size_t bytes) { add(socketBytesSent_, bytes); }
    void countSocketBytesReceived(std::size_t bytes) { add(socketBytesReceived_, bytes); }

    MethodTraffic of(Wire::Method method) const
    {
        const auto &counters = methods_.at(static_cast<std::size_t>(method));
        return {counters.calls.load(), counters.requestBytes.load(), counters.replyBytes.load()};
    }
    std::uint64_t socketBytesSent() const { return socketBytesSent_.load(); }
    std::uint64_t socketBytesReceived() const { return socketBytesReceived_.load(); }

private:
    using Total = std::atomic<std::uint64_t>;

    struct MethodCounters
    {
        Total calls {0};
        Total requestBytes {0};
        Total replyBytes {0};
    };

    static void add(Total &total, std::uint64_t amount)
    {
        total.fetch_add(amount, std::memory_order_relaxed);
    }

    std::array<MethodCounters, static_cast<std::size_t>(Wire::Method::Count)> methods_;
    Total socketBytesSent_ {0};
    Total socketBytesReceived_ {0};
};

} // namespace Peer
