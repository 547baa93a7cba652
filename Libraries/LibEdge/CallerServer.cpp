#include "LibEdge/CallerServer.h"

#include "LibEdge/CallerConnection.h"
#include "LibEdge/SocketAddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <malloc.h>
#include <vector>

namespace Edge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Interval of the timeout checks; timeouts are exact to this.
constexpr Base::Duration SweepInterval = Base::milliseconds(250);
/// Memory for callers of a server that shares none; no caller of a deployment comes near it.
constexpr std::size_t DefaultMemoryBytes = std::size_t {256} * 1024 * 1024;
/// Pause before accepting again after an error such as too many open descriptors.
constexpr Base::Duration AcceptRetryDelay = Base::milliseconds(100);

} // namespace

class CallerServer::Implementation
{
public:
    Implementation(Loop &loop, CallerHandler handler, CallerServerOptions options)
        : acceptor_(loop.context())
        , sweepTimer_(loop.context())
        , retryTimer_(loop.context())
    {
        context_.handler = std::move(handler);
        context_.options = std::move(options);
        if (!context_.options.memory)
            context_.options.memory = std::make_shared<MemoryAccount>(DefaultMemoryBytes);
    }

    ~Implementation()
    {
        while (!connections_.empty())
            connections_.front().detach();
    }

    Base::Result<void> open(const std::string &address)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            return tl::unexpected(endpoint.error());
        error_code error;
        acceptor_.open(endpoint->protocol(), error);
        if (!error)
            acceptor_.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            acceptor_.bind(*endpoint, error);
        if (!error)
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        if (!error)
            acceptor_.non_blocking(true, error);
        if (error)
            return Base::fail(Base::ErrorKind::SettingInvalid,
                              fmt::format("cannot listen on {}: {}", address, error.message()));
        accept();
        sweep();
        return {};
    }

    void accept()
    {
        if (!acceptor_.is_open())
            return;
        acceptor_.async_accept([this](const error_code &error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (error)
                return retryAccept();
            add(std::move(socket));
            accept();
        });
    }

    /// Takes over the connections that the kernel has accepted already; it resets those that are left when
    /// the listener closes.
    void acceptPending()
    {
        error_code error;
        while (!error && acceptor_.is_open()) {
            asio::ip::tcp::socket socket(acceptor_.get_executor());
            acceptor_.accept(socket, error);
            if (!error)
                add(std::move(socket));
        }
    }

    void retryAccept()
    {
        retryTimer_.expires_after(AcceptRetryDelay);
        retryTimer_.async_wait([this](const error_code &error) {
            if (!error)
                accept();
        });
    }

    void add(asio::ip::tcp::socket socket)
    {
        if (connections_.size() >= context_.limits.maxConnections && !closeLeastUseful()) {
            context_.note(RefusalCause::TooManyConnections);
            return; // The socket closes here; the caller tries another gateway.
        }
        const boost::intrusive_ptr<CallerConnection> connection(
            new CallerConnection(std::move(socket), context_));
        connections_.push_back(*connection);
        connection->start();
    }

    /// Closes the connection that is least likely to carry an ordinary request, if there is one.
    /// Load pattern: crowds that open connections and send nothing, or very little.
    bool closeLeastUseful()
    {
        const auto now = context_.clock.now();
        CallerConnection *least = nullptr;
        std::optional<Usefulness> lowest;
        for (auto &connection : connections_) {
            const auto usefulness = connection.usefulness(now);
            if (usefulness && (!lowest || *usefulness < *lowest)) {
                lowest = usefulness;
                least = &connection;
            }
        }
        if (least == nullptr)
            return false;
        const boost::intrusive_ptr<CallerConnection> kept(least);
        kept->giveWay(RefusalCause::TooManyConnections);
        return true;
    }

    void sweep()
    {
        sweepTimer_.expires_after(SweepInterval);
        sweepTimer_.async_wait([this](const error_code &error) {
            if (error)
                return;
            const auto now = context_.clock.now();
            forEach([now](CallerConnection &connection) { connection.checkTimeouts(now); });
            // The allocator keeps what is freed between blocks in use, and would hold a crowd's peak for
            // ever.
            if (context_.options.memory->takeDecrease())
                ::malloc_trim(0);
            sweep();
        });
    }

    /// `visit` may remove any connection: a request that it handles may end others.
    template<typename Visit>
    void forEach(Visit visit)
    {
        std::vector<boost::intrusive_ptr<CallerConnection>> visited;
        for (auto &connection : connections_)
            visited.emplace_back(&connection);
        for (const auto &connection : visited)
            visit(*connection);
    }

    using Connections = boost::intrusive::list<CallerConnection, boost::intrusive::constant_time_size<false>>;

    CallerServerContext context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer sweepTimer_;
    asio::steady_timer retryTimer_;
    Connections connections_;
};

std::string_view refusalCauseName(RefusalCause cause)
{
    switch (cause) {
    case RefusalCause::NoMemory:
        return "no_memory";
    case RefusalCause::TooManyFields:
        return "too_many_fields";
    case RefusalCause::SlowRequest:
        return "slow_request";
    case RefusalCause::AnswerNotTaken:
        return "answer_not_taken";
    case RefusalCause::TooManyConnections:
        return "too_many_connections";
    }
    return "no_memory";
}

Base::Result<std::unique_ptr<CallerServer>> CallerServer::create(Loop &loop, const std::string &address,
                                                                 CallerHandler handler,
                                                                 CallerServerOptions options)
{
    auto implementation = std::make_unique<Implementation>(loop, std::move(handler), std::move(options));
    if (auto opened = implementation->open(address); !opened)
        return tl::unexpected(opened.error());
    return std::unique_ptr<CallerServer>(new CallerServer(std::move(implementation)));
}

CallerServer::CallerServer(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

CallerServer::~CallerServer() = default;

std::string CallerServer::address() const
{
    error_code error;
    const auto endpoint = implementation_->acceptor_.local_endpoint(error);
    return error ? std::string() : fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

void CallerServer::setLimits(const EdgeLimits &limits)
{
    implementation_->context_.limits = limits;
}

void CallerServer::beginDrain()
{
    implementation_->context_.draining = true;
}

void CallerServer::stopAccepting()
{
    beginDrain();
    implementation_->acceptPending();
    error_code ignored; // The listener is released whatever close() reports.
    implementation_->acceptor_.close(ignored);
    implementation_->forEach([](CallerConnection &connection) { connection.closeIfIdle(); });
}

std::size_t CallerServer::connectionCount() const
{
    return implementation_->connections_.size();
}

CallerExchange::CallerExchange(boost::intrusive_ptr<CallerConnection> connection, std::uint64_t sequence)
    : connection_(std::move(connection))
    , sequence_(sequence)
{
}

CallerExchange::CallerExchange() = default;
CallerExchange::~CallerExchange() = default;
CallerExchange::CallerExchange(const CallerExchange &) = default;
CallerExchange::CallerExchange(CallerExchange &&) noexcept = default;
CallerExchange &CallerExchange::operator=(const CallerExchange &) = default;
CallerExchange &CallerExchange::operator=(CallerExchange &&) noexcept = default;

void CallerExchange::respond(ResponseMessage response) const
{
    if (connection_)
        connection_->respond(sequence_, std::move(response));
}

std::optional<Base::Duration> CallerExchange::roundTripTime() const
{
    return connection_ ? connection_->roundTripTime() : std::nullopt;
}

void CallerExchange::onCallerLeft(std::function<void()> left) const
{
    if (connection_)
        connection_->onCallerLeft(sequence_, std::move(left));
}

} // namespace Edge
