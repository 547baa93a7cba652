#include "LibEdge/BackendConnection.h"

#include "LibEdge/MessageParser.h"
#include "LibEdge/SocketAddress.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cerrno>
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
/// Responses before the one to the request: interim ones and copies of earlier answers.
constexpr int MaxSkippedResponses = 16;
/// Buffered bytes of a response that do not count against the memory of all responses, so that usual
/// responses still come while others run without end. The number of descriptors bounds their sum.
constexpr std::size_t UncountedBytes = std::size_t {16} * 1024;
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
    case ExchangeFailure::ReplyTooLarge:
        return "reply_too_large";
    }
    return "reply_malformed";
}

class BackendConnection::Implementation
    : public boost::intrusive_ref_counter<BackendConnection::Implementation, boost::thread_unsafe_counter>
{
public:
    using Pointer = boost::intrusive_ptr<Implementation>;

    Implementation(Loop &loop, ReplyMemory &memory, BackendConnectionEvents &events)
        : socket_(loop.context())
        , timer_(loop.context())
        , memory_(memory)
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

    void send(std::string request, const ReplyFraming &framing, std::shared_ptr<const std::string> body)
    {
        busy_ = true;
        output_ = std::move(request);
        body_ = std::move(body);
        bodySent_ = 0;
        sent_ = 0;
        skippedResponses_ = 0;
        framing_ = framing;
        parser_.emplace(framing_);
        if (connected_)
            continueWrite();
    }

    void continueWrite()
    {
        error_code error;
        writePart(output_, sent_, error);
        if (!error && body_ && sent_ == output_.size())
            writePart(*body_, bodySent_, error);
        if (error && error != asio::error::would_block && error != asio::error::try_again) {
            // send() may be on the stack of the caller, who expects the failure later.
            asio::post(socket_.get_executor(),
                       [self = Pointer(this), detail = error.message()] { self->fail(detail); });
            return;
        }
        if (sent_ == output_.size() && (!body_ || bodySent_ == body_->size())) {
            std::string().swap(output_);
            body_.reset();
            wroteAll_ = true;
            return;
        }
        socket_.async_wait(asio::ip::tcp::socket::wait_write,
                           [self = Pointer(this)](const error_code &waitError) {
                               if (!waitError && self->events_ != nullptr)
                                   self->continueWrite();
                           });
    }

    void writePart(const std::string &part, std::size_t &sent, error_code &error)
    {
        const auto rest = std::string_view(part).substr(sent);
        const auto count =
            rest.empty() ? 0 : socket_.write_some(asio::buffer(rest.data(), rest.size()), error);
        if (!error)
            sent += count;
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
            if (!events_->answersRequest(parser_->message()))
                return fail("the last response answers another request", ExchangeFailure::ReplyMalformed);
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
                return fail(parsed.error.message(), failureOf(parsed.error));
            if (!countBuffered(input_.size() + parser_->heldBytes()))
                return fail("unfinished responses use up the memory for them",
                            ExchangeFailure::ReplyTooLarge);
            if (!parsed.done) {
                if (input_.size() > MaxUnparsedBytes)
                    return fail("a line or trailer without end", ExchangeFailure::ReplyTooLarge);
                return waitReadable();
            }
            const bool isInterim = parser_->isInformational();
            if (!isInterim && events_->answersRequest(parser_->message()))
                break;
            // A connection with a response that nothing asked for carries no further request.
            reusable_ = reusable_ && isInterim;
            if (++skippedResponses_ > MaxSkippedResponses)
                return fail("responses without end", ExchangeFailure::ReplyMalformed);
            parser_.emplace(framing_);
        }
        // More bytes than one response holds: the next response on this connection could be anything.
        if (!input_.empty())
            reusable_ = false;
        deliver();
    }

    static ExchangeFailure failureOf(const error_code &error)
    {
        using HttpError = boost::beast::http::error;
        return error == HttpError::body_limit || error == HttpError::header_limit
                   ? ExchangeFailure::ReplyTooLarge
                   : ExchangeFailure::ReplyMalformed;
    }

    /// Counts what is buffered of the response; false when the process holds too much of all of them.
    bool countBuffered(std::size_t bytes)
    {
        const auto counted = bytes > UncountedBytes ? bytes : 0;
        if (!memory_.resize(countedBytes_, counted))
            return false;
        countedBytes_ = counted;
        return true;
    }

    void deliver()
    {
        auto response = parser_->take();
        parser_.reset();
        countBuffered(0);
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

    /// Without `kind` the failure is what the state of the exchange says.
    void fail(const std::string &detail, std::optional<ExchangeFailure> kind = std::nullopt)
    {
        if (events_ == nullptr)
            return;
        const Pointer self(this);
        auto *events = events_;
        const bool wasBusy = busy_;
        const auto failure = kind.value_or(failureKind());
        closeSocket();
        if (wasBusy)
            events->exchangeFailed(failure, detail);
        else
            events->idleConnectionEnded();
    }

    ExchangeFailure failureKind() const
    {
        if (parser_ && parser_->hasStarted())
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
        parser_.reset();
        input_ = {};
        countBuffered(0);
        timer_.cancel();
        error_code ignored; // The descriptor is released whatever close() reports.
        socket_.close(ignored);
    }

    Base::SystemClock clock_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    ReplyMemory &memory_;
    std::size_t countedBytes_ = 0; ///< Of `memory_`.
    BackendConnectionEvents *events_; ///< Null once the connection has ended.
    std::optional<ResponseParser> parser_;
    std::string input_;
    std::string output_;
    std::size_t sent_ = 0; ///< Of `output_`.
    std::shared_ptr<const std::string> body_; ///< Follows `output_`; null without one.
    std::size_t bodySent_ = 0;
    bool wroteAll_ = false;
    bool connected_ = false;
    bool connectTimedOut_ = false;
    bool peerSilent_ = false;
    bool busy_ = false;
    ReplyFraming framing_;
    int skippedResponses_ = 0; ///< Before the one to the request.
    bool reusable_ = true;
    Base::Instant idleSince_;
    Base::Duration idleLimit_ = DefaultIdleLimit;
};

BackendConnection::BackendConnection(Loop &loop, const std::string &address, Base::Duration connectTimeout,
                                     ReplyMemory &memory, BackendConnectionEvents &events)
    : implementation_(new Implementation(loop, memory, events))
{
    implementation_->connect(address, connectTimeout);
}

BackendConnection::~BackendConnection()
{
    abort();
}

void BackendConnection::send(std::string request, const ReplyFraming &framing,
                             std::shared_ptr<const std::string> body)
{
    implementation_->send(std::move(request), framing, std::move(body));
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

bool BackendConnection::isQuiet() const
{
    if (!isOpen() || !implementation_->connected_)
        return isOpen();
    char byte = 0;
    const auto count =
        ::recv(implementation_->socket_.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Base::Instant BackendConnection::idleSince() const
{
    return implementation_->idleSince_;
}

} // namespace Edge
