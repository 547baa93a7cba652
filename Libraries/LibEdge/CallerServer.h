#pragma once

#include "LibBase/Clock.h"
#include "LibBase/Error.h"
#include "LibEdge/Loop.h"
#include "LibEdge/MemoryAccount.h"
#include "LibEdge/MessageParser.h"
#include "LibEdge/RequestMessage.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Edge {

class CallerConnection;

/// The right to answer one request. The connection may be gone meanwhile; the answer is then dropped.
class CallerExchange
{
public:
    CallerExchange();
    CallerExchange(boost::intrusive_ptr<CallerConnection> connection, std::uint64_t sequence);
    ~CallerExchange();
    CallerExchange(const CallerExchange &);
    CallerExchange(CallerExchange &&) noexcept;
    CallerExchange &operator=(const CallerExchange &);
    CallerExchange &operator=(CallerExchange &&) noexcept;

    /// Sends the answer; only the first one counts.
    void respond(ResponseMessage response) const;

    /// Calls `left` when the caller closes the connection before it is answered.
    void onCallerLeft(std::function<void()> left) const;

    /// True for the first request of its connection.
    bool isFirstOnConnection() const { return sequence_ == 1; }

    /// Round-trip time of the caller's connection as the kernel has measured it, or nothing.
    std::optional<Base::Duration> roundTripTime() const;

private:
    boost::intrusive_ptr<CallerConnection> connection_;
    std::uint64_t sequence_ = 0;
};

/// What callers may send, and how long they may take.
struct EdgeLimits
{
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = std::uint64_t {256} * 1024;
    Base::Duration headerTimeout = Base::seconds(3);
    Base::Duration idleTimeout = Base::seconds(15);
    /// A further one is closed at once, unless another one that does nothing useful can be closed for it.
    std::size_t maxConnections = 2000;
    std::size_t maxHeaderFields = 256;
};

/// Why a connection was refused or ended although its bytes were a proper request so far.
enum class RefusalCause : std::uint8_t {
    NoMemory, ///< The memory for callers is used up.
    TooManyFields,
    SlowRequest, ///< Too little of a request arrived in the time for it.
    AnswerNotTaken, ///< Too little of an answer was taken in the time for it.
    TooManyConnections,
};

std::string_view refusalCauseName(RefusalCause cause);

/// What a server shares with the rest of its process, and what it does with bodies.
struct CallerServerOptions
{
    std::shared_ptr<MemoryAccount> memory; ///< Without it the server has one of its own.
    BodyFilter usesBody; ///< Without it all bodies are kept.
    std::function<void(RefusalCause)> refused;
};

/// May take parts out of the request that it needs for longer.
using CallerHandler = std::function<void(RequestMessage &, CallerExchange)>;

/// Accepts HTTP/1.1 connections on one address and serves one request at a time on each, on the loop's
/// thread. Malformed requests are answered with 400, 408, 413 or 431 and a close. A request that there is no
/// memory for is answered with 503 and a close; it has not run.
class CallerServer
{
public:
    static Base::Result<std::unique_ptr<CallerServer>>
    create(Loop &loop, const std::string &address, CallerHandler handler, CallerServerOptions options = {});
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Address that the kernel bound, with the real port.
    std::string address() const;
    void setLimits(const EdgeLimits &limits);

    /// Answers announce that their connection ends from now on.
    void beginDrain();
    /// Refuses new connections and closes those without a request.
    void stopAccepting();
    std::size_t connectionCount() const;

private:
    class Implementation;
    explicit CallerServer(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation_;

    friend class CallerConnection;
};

} // namespace Edge
