#include "LibEdge/BackendConnection.h"

#include "LibEdge/MessageParser.h"
#include "LibEdge/SocketAddress.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <optional>

namespace Edge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Unacknowledged bytes end the connection after this time, or a cut network would hold it for minutes.
constexpr int UnacknowledgedTimeoutMs = 2000;
/// Probes of an idle connection find servers that vanished without a word: after 5 s, then each second, 3
/// times.
constexpr int KeepAliveIdleSeconds = 5;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 3;
/// Idle time after which a connection is not reused when the server states no timeout of its own.
constexpr Base::Duration DefaultIdleLimit = Base::seconds(8);
/// A request must not cross the server's own close, so reuse ends this long before the stated timeout.
constexpr Base::Duration IdleMargin = Base::milliseconds(1200);

std::array<char, 16384> &readBuffer()
{
    static thread_local std::array<char, 16384> buffer;
    return buffer;
}

/// Returns the seconds in "timeout=5, max=100", or nothing.
std::optional<int> statedTimeout(std::string_view keepAlive)
{
    constexpr std::string_view Key = "timeout=";
    const auto at = keepAlive.find(Key);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto text = keepAlive.substr(at + Key.size());
    int seconds = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), seconds);
    return result.ec == std::errc() ? std::optional(seconds) : std::nullopt;
}

void setTcpOption(int descriptor, int option, int value)
{
    // A kernel without the option only notices a lost peer later.
    (void)::setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
}

} // namespace

std::string_view exchangeFailureName(ExchangeFailure failure)
{
    switch (failure) {
    case ExchangeFailure::NoConnection:
        return "no_connection";
    case ExchangeFailure::NotSent:
        return "not_sent";
    case ExchangeFailure::ReplyLost:
        return "reply_lost";
    case ExchangeFailure::PeerSilent:
        return "peer_silent";
    case ExchangeFailure::ReplyMalformed:
        return "reply_malformed";
    }
    return "reply_malformed";
}

class BackendConnection::Implementation
    : public boost::intrusive_ref_counter<BackendConnection::Implementation, boost::thread_unsafe_counter>
{
public:
    using Pointer = boost::intrusive_ptr<Implementation>;

    Implementation(Loop &loop, BackendConnectionEvents &events)
        : socket_(loop.context())
        , timer_(loop.context())
        , events_(&events)
        , idleSince_(clock_.now())
    {
    }

    void connect(const std::string &address, Base::Duration timeout)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            asio::post(socket_.get_executor(),
                       [self = Pointer(this), detail = endpoint.error().detail] { self->fail(detail); });
            return;
        }
        timer_.expires_after(timeout);
        timer_.async_wait([self = Pointer(this)](const error_code &error) {
            if (error || self->connected_)
                return;
            self->connectTimedOut_ = true;
            self->fail("no connection within the timeout");
        });
        socket_.async_connect(*endpoint, [self = Pointer(this)](const error_code &error) {
            if (self->events_ == nullptr)
                return;
            self->timer_.cancel();
            if (error)
                return self->fail(error.message());
            self->connected();
        });
    }

    void connected()
    {
        connected_ = true;
        idleSince_ = clock_.now();
        error_code ignored; // Without these options the connection is only slower to notice a loss.
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        socket_.set_option(asio::socket_base::keep_alive(true), ignored);
        socket_.non_blocking(true, ignored);
        const int descriptor = socket_.native_handle();
        setTcpOption(descriptor, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMs);
        setTcpOption(descriptor, TCP_KEEPIDLE, KeepAliveIdleSeconds);
        setTcpOption(descriptor, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
        setTcpOption(descriptor, TCP_KEEPCNT, KeepAliveProbes);
        waitReadable();
        if (!output_.empty())
            continueWrite();
    }

    void send(std::string request, bool headRequest)
    {
        busy_ = true;
        output_ = std::move(request);
        sent_ = 0;
        parser_.emplace(headRequest);
        headRequest_ = headRequest;
        if (connected_)
            continueWrite();
    }

    void continueWrite()
    {
        const auto rest = std::string_view(output_).substr(sent_);
        error_code error;
        const auto count =
            rest.empty() ? 0 : socket_.write_some(asio::buffer(rest.data(), rest.size()), error);
        if (error && error != asio::error::would_block && error != asio::error::try_again) {
            // send() may be on the stack of the caller, who expects the failure later.
            asio::post(socket_.get_executor(),
                       [self = Pointer(this), detail = error.message()] { self->fail(detail); });
            return;
        }
        if (!error)
            sent_ += count;
        if (sent_ == output_.size()) {
            output_.clear();
            output_.shrink_to_fit();
            wroteAll_ = true;
            return;
        }
        socket_.async_wait(asio::ip::tcp::socket::wait_write,
                           [self = Pointer(this)](const error_code &waitError) {
                               if (!waitError && self->events_ != nullptr)
                                   self->continueWrite();
                           });
    }

    void waitReadable()
    {
        socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = Pointer(this)](const error_code &error) {
            if (!error && self->events_ != nullptr)
                self->readAvailable();
        });
    }

    void readAvailable()
    {
        error_code error;
        auto &buffer = readBuffer();
        const auto size = socket_.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block || error == asio::error::try_again)
            return waitReadable();
        if (error == asio::error::eof)
            return endOfInput();
        if (error) {
            peerSilent_ = error == asio::error::timed_out;
            return fail(error.message());
        }
        takeInput({buffer.data(), size});
    }

    void endOfInput()
    {
        if (busy_ && parser_ && input_.empty() && parser_->finishAtEnd()) {
            reusable_ = false;
            return deliver();
        }
        fail("the server closed the connection");
    }

    void takeInput(std::string_view input)
    {
        if (!busy_)
            return fail("bytes without a request");
        input_ += input;
        while (true) {
            const auto parsed = parser_->feed(input_);
            input_.erase(0, parsed.consumed);
            if (parsed.error)
                return fail(parsed.error.message(), true);
            if (!parsed.done)
                return waitReadable();
            if (!parser_->isInformational())
                break;
            parser_.emplace(headRequest_);
        }
        // More bytes than one response holds: the next response on this connection could be anything.
        if (!input_.empty())
            reusable_ = false;
        deliver();
    }

    void deliver()
    {
        auto response = parser_->take();
        parser_.reset();
        busy_ = false;
        idleSince_ = clock_.now();
        if (!response.keepAlive || !wroteAll_)
            reusable_ = false;
        wroteAll_ = false;
        if (const auto timeout = statedTimeout(response.header("Keep-Alive")))
            idleLimit_ = std::max(Base::Duration::zero(), Base::seconds(*timeout) - IdleMargin);
        const Pointer self(this);
        auto *events = events_;
        if (!reusable_)
            closeSocket();
        else
            waitReadable();
        events->replyArrived(std::move(response));
    }

    void fail(const std::string &detail, bool malformed = false)
    {
        if (events_ == nullptr)
            return;
        const Pointer self(this);
        auto *events = events_;
        const bool wasBusy = busy_;
        const auto failure = failureKind(malformed);
        closeSocket();
        if (wasBusy)
            events->exchangeFailed(failure, detail);
        else
            events->idleConnectionEnded();
    }

    ExchangeFailure failureKind(bool malformed) const
    {
        if (malformed || (parser_ && parser_->hasStarted()))
            return ExchangeFailure::ReplyMalformed;
        if (connected_ && (sent_ > 0 || wroteAll_))
            return peerSilent_ ? ExchangeFailure::PeerSilent : ExchangeFailure::ReplyLost;
        return connectTimedOut_ ? ExchangeFailure::NoConnection : ExchangeFailure::NotSent;
    }

    void closeSocket()
    {
        events_ = nullptr;
        busy_ = false;
        reusable_ = false;
        timer_.cancel();
        error_code ignored; // The descriptor is released whatever close() reports.
        socket_.close(ignored);
    }

    Base::SystemClock clock_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    BackendConnectionEvents *events_; ///< Null once the connection has ended.
    std::optional<ResponseParser> parser_;
    std::string input_;
    std::string output_;
    std::size_t sent_ = 0;
    bool wroteAll_ = false;
    bool connected_ = false;
    bool connectTimedOut_ = false;
    bool peerSilent_ = false;
    bool busy_ = false;
    bool headRequest_ = false;
    bool reusable_ = true;
    Base::Instant idleSince_;
    Base::Duration idleLimit_ = DefaultIdleLimit;
};

BackendConnection::BackendConnection(Loop &loop, const std::string &address, Base::Duration connectTimeout,
                                     BackendConnectionEvents &events)
    : implementation_(new Implementation(loop, events))
{
    implementation_->connect(address, connectTimeout);
}

BackendConnection::~BackendConnection()
{
    abort();
}

void BackendConnection::send(std::string request, bool headRequest)
{
    implementation_->send(std::move(request), headRequest);
}

void BackendConnection::abort()
{
    if (implementation_->events_ != nullptr)
        implementation_->closeSocket();
}

bool BackendConnection::isOpen() const
{
    return implementation_->events_ != nullptr;
}

bool BackendConnection::isReusable(Base::Instant now) const
{
    return isOpen() && implementation_->reusable_
           && now - implementation_->idleSince_ < implementation_->idleLimit_;
}

Base::Instant BackendConnection::idleSince() const
{
    return implementation_->idleSince_;
}

} // namespace Edge
