#include "LibEdge/CallerConnection.h"

#include "LibBase/Log.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <exception>
#include <netinet/tcp.h>

namespace Edge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Base::Log Log("edge");

/// Bytes of following requests that are kept while one is handled; more wait in the socket.
constexpr std::size_t MaxPipelinedBytes = std::size_t {64} * 1024;
/// A caller that does not close after the last answer is cut off, or its unread bytes would reset the answer.
constexpr Base::Duration LingerTimeout = Base::seconds(2);
/// Shortest window in which a caller must take its share of an answer.
constexpr Base::Duration WriteWindow = Base::seconds(20);
/// A connection that has had progress within this time is not closed for another one.
constexpr Base::Duration RecentProgress = Base::milliseconds(250);
/// A transfer that moves may be closed for another connection after this time; ordinary ones take far less.
constexpr Base::Duration LongTransfer = Base::seconds(1);
/// A body up to this size is copied behind its head, which saves a system call.
constexpr std::size_t MaxJoinedBody = std::size_t {16} * 1024;
/// A caller that was refused for want of memory may return after this time; by then the slow ones are gone.
constexpr const char *NoMemoryRetryAfter = "1.000";

/// All connections run on one thread, so they share the buffer and hold none while they are idle.
std::array<char, 16384> &readBuffer()
{
    static thread_local std::array<char, 16384> buffer;
    return buffer;
}

int statusOfParseError(const error_code &error)
{
    if (error == boost::beast::http::error::header_limit)
        return 431;
    if (error == boost::beast::http::error::body_limit)
        return 413;
    return 400;
}

bool isProper(const RequestMessage &request)
{
    int hosts = 0;
    for (const auto &[name, value] : request.headers)
        hosts += equalsIgnoringCase(name, "Host") ? 1 : 0;
    return hosts == 1 && request.target.starts_with('/');
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, CallerServerContext &context)
    : socket_(std::move(socket))
    , context_(&context)
    , since_(context.clock.now())
{
    progress_.begin(since_);
    context.options.memory->add(*this);
}

CallerConnection::~CallerConnection() = default;

std::size_t CallerConnection::heldBytes() const
{
    return input_.capacity() + (parser_ ? parser_->heldBytes() : 0) + requestBytes_ + output_.size()
           + outputBody_.size();
}

/// Charges `bytes` more than what is held now; false when there is no room for them.
bool CallerConnection::reserve(std::size_t bytes)
{
    const auto wanted = heldBytes() + bytes;
    if (!context_->options.memory->resize(context_->clock.now(), chargedBytes_, wanted, this))
        return false;
    chargedBytes_ = wanted;
    return true;
}

/// Charges what is held now.
void CallerConnection::settle()
{
    if (context_ == nullptr || state_ == State::Closed)
        return;
    const auto before = std::exchange(chargedBytes_, heldBytes());
    context_->options.memory->force(context_->clock.now(), before, chargedBytes_);
}

std::size_t CallerConnection::releasableBytes() const
{
    const bool ends = state_ == State::Reading || hasOutput();
    return ends ? chargedBytes_ : 0;
}

void CallerConnection::giveWay(RefusalCause cause)
{
    const boost::intrusive_ptr<CallerConnection> self(this);
    context_->note(cause);
    // The answer says that the request has not run; it gets out if the kernel takes it at once.
    if (state_ == State::Reading && !hasOutput() && parser_ && parser_->hasHeader()) {
        ResponseMessage response;
        response.status = 503;
        response.headers.emplace_back("Retry-After", NoMemoryRetryAfter);
        const auto text = formatResponse(response, true);
        error_code ignored;
        socket_.write_some(asio::buffer(text), ignored);
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    close();
}

std::optional<Usefulness> CallerConnection::usefulness(Base::Instant now) const
{
    enum Kind { Closing, Idle, Answering, Arriving, Slow };
    if (state_ == State::Lingering)
        return Usefulness {Closing, progress_.lastMoved()};
    if (state_ == State::Handling && !hasOutput())
        return std::nullopt;
    if (now - progress_.lastMoved() >= RecentProgress) {
        const auto kind = hasOutput() ? Answering : requestStarted_ ? Arriving : Idle;
        return Usefulness {kind, progress_.lastMoved()};
    }
    if ((hasOutput() || requestStarted_) && now - since_ >= LongTransfer)
        return Usefulness {Slow, since_};
    return std::nullopt;
}

/// Unread bytes stay in the socket, so the caller's sending stalls instead of this process's memory growing.
bool CallerConnection::mayRead() const
{
    if (state_ == State::Lingering)
        return true;
    if (hasOutput())
        return false;
    return state_ == State::Reading || input_.size() < MaxPipelinedBytes;
}

void CallerConnection::start()
{
    error_code ignored; // A socket without the option is only slower.
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    waitReadable();
}

void CallerConnection::waitReadable()
{
    if (reading_ || state_ == State::Closed || !mayRead())
        return;
    reading_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = boost::intrusive_ptr<CallerConnection>(this)](const error_code &error) {
                           self->reading_ = false;
                           if (!error && self->state_ != State::Closed)
                               self->readAvailable();
                       });
}

void CallerConnection::readAvailable()
{
    const boost::intrusive_ptr<CallerConnection> self(this);
    if (!mayRead())
        return;
    error_code error;
    auto &buffer = readBuffer();
    // What has been read cannot be left, and a request under way is not cut off for the next one. Reading
    // goes on after its answer.
    if (state_ == State::Handling && !reserve(input_.capacity() + buffer.size()))
        return;
    const auto size = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        settle();
        return waitReadable();
    }
    if (error || size == 0) {
        noteCallerGone();
        return close();
    }
    takeInput({buffer.data(), size});
    waitReadable();
}

void CallerConnection::takeInput(std::string_view input)
{
    if (state_ == State::Lingering)
        return;
    const auto now = context_->clock.now();
    if (state_ == State::Reading) {
        if (!requestStarted_) {
            requestStarted_ = true;
            since_ = now;
            progress_.begin(now);
        }
        progress_.moved(now, input.size());
        if (!parser_)
            startParser();
    }
    const auto parsed =
        parser_ ? parser_->heldBytesAfter(input_.size() + input.size()) - parser_->heldBytes() : 0;
    // The text of the input may double when it grows.
    if (!reserve(parsed + input_.capacity() + input.size()))
        return giveWay(RefusalCause::NoMemory);
    input_ += input;
    if (state_ == State::Reading)
        parseInput();
    settle();
}

void CallerConnection::startParser()
{
    const auto &limits = context_->limits;
    parser_.emplace(RequestLimits {limits.maxHeaderBytes, limits.maxBodyBytes, limits.maxHeaderFields,
                                   &context_->options.usesBody});
}

void CallerConnection::parseInput()
{
    if (input_.empty())
        return;
    if (!parser_)
        startParser();
    const bool hadHeader = parser_->hasHeader();
    const auto parsed = parser_->feed(input_);
    input_.erase(0, parsed.consumed);
    if (input_.empty())
        std::string().swap(input_);
    if (parsed.error) {
        if (parser_->hasTooManyFields())
            context_->note(RefusalCause::TooManyFields);
        return refuse(statusOfParseError(parsed.error));
    }
    if (parsed.done)
        return handleRequest();
    if (input_.size() > MaxUnparsedBytes)
        return refuse(413);
    if (!hadHeader && parser_->hasHeader() && parser_->expectsContinue())
        write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::handleRequest()
{
    requestBytes_ = parser_->heldBytes();
    auto request = parser_->take();
    parser_.reset();
    ++sequence_;
    state_ = State::Handling;
    since_ = context_->clock.now();
    progress_.begin(since_);
    requestStarted_ = false;
    keepAlive_ = request.keepAlive;
    headRequest_ = request.method == "HEAD";
    if (!isProper(request))
        return refuse(400);
    const auto sequence = sequence_;
    try {
        context_->handler(request, CallerExchange(this, sequence));
    } catch (const std::exception &exception) {
        Log.error("A request handler failed.", {{"path", request.path()}, {"reason", exception.what()}});
        if (state_ == State::Handling && sequence == sequence_)
            refuse(500);
    }
}

/// Ends the connection with an answer of its own, as to bytes that are no proper request. What follows them
/// cannot be told apart, so the connection ends.
void CallerConnection::refuse(int status)
{
    ResponseMessage response;
    response.status = status;
    keepAlive_ = false;
    closesAfterWrite_ = true;
    state_ = State::Handling;
    callerLeft_ = nullptr;
    requestBytes_ = 0;
    parser_.reset();
    ++sequence_;
    write(formatResponse(response, true));
}

void CallerConnection::respond(std::uint64_t sequence, ResponseMessage response)
{
    if (state_ != State::Handling || sequence != sequence_ || closesAfterWrite_)
        return;
    const boost::intrusive_ptr<CallerConnection> self(this);
    callerLeft_ = nullptr;
    requestBytes_ = 0;
    // A request that was read behind this one gets an answer as well, and the last answer closes the
    // connection.
    closesAfterWrite_ = !keepAlive_ || (context_->draining && input_.empty());
    // The request is over; its sequence number must not be answered again.
    ++sequence_;
    if (!closesAfterWrite_) {
        state_ = State::Reading;
        since_ = context_->clock.now();
    }
    if (response.body.size() <= MaxJoinedBody || headRequest_ || isBodiless(response.status)) {
        write(formatResponse(response, closesAfterWrite_, headRequest_));
    } else {
        auto head = formatResponse(response, closesAfterWrite_, true);
        write(std::move(head), std::move(response.body));
    }
}

/// Goes on with what follows on the connection. Requests behind an answer that is not taken wait for that.
void CallerConnection::readOn()
{
    // Requests that were sent early are handled from the loop, so that a long row of them does not nest.
    if (!input_.empty() && !parser_) {
        requestStarted_ = true;
        since_ = context_->clock.now();
        progress_.begin(since_);
        asio::post(socket_.get_executor(), [self = boost::intrusive_ptr<CallerConnection>(this)] {
            if (self->state_ != State::Reading || self->context_ == nullptr || self->hasOutput())
                return;
            self->parseInput();
            self->settle();
        });
    }
    waitReadable();
}

void CallerConnection::onCallerLeft(std::uint64_t sequence, std::function<void()> left)
{
    if (state_ == State::Handling && sequence == sequence_)
        callerLeft_ = std::move(left);
}

std::optional<Base::Duration> CallerConnection::roundTripTime()
{
    if (state_ == State::Closed)
        return std::nullopt;
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_rtt == 0)
        return std::nullopt;
    return std::chrono::microseconds(info.tcpi_rtt);
}

void CallerConnection::write(std::string text, std::string body)
{
    if (!outputBody_.empty())
        return close(); // Nothing can follow an answer that has been written in part only.
    if (!hasOutput())
        progress_.begin(context_->clock.now());
    if (output_.empty())
        output_ = std::move(text);
    else
        output_ += text;
    outputBody_ = std::move(body);
    if (!writing_)
        continueWrite();
    settle();
}

void CallerConnection::continueWrite()
{
    error_code error;
    while (hasOutput() && !error) {
        auto &part = output_.empty() ? outputBody_ : output_;
        const auto rest = std::string_view(part).substr(outputSent_);
        const auto sent = socket_.write_some(asio::buffer(rest.data(), rest.size()), error);
        if (error)
            break;
        progress_.moved(context_->clock.now(), sent);
        outputSent_ += sent;
        if (outputSent_ == part.size()) {
            std::string().swap(part);
            outputSent_ = 0;
        }
    }
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        noteCallerGone();
        return close();
    }
    if (!hasOutput())
        return finishWrite();
    writing_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = boost::intrusive_ptr<CallerConnection>(this)](const error_code &waitError) {
                           self->writing_ = false;
                           if (waitError || self->state_ == State::Closed)
                               return;
                           self->continueWrite();
                           self->settle();
                       });
}

void CallerConnection::finishWrite()
{
    if (closesAfterWrite_)
        linger();
    else if (state_ == State::Reading)
        readOn();
}

void CallerConnection::noteCallerGone()
{
    if (auto left = std::exchange(callerLeft_, nullptr); left)
        left();
}

void CallerConnection::linger()
{
    state_ = State::Lingering;
    since_ = context_->clock.now();
    std::string().swap(input_);
    parser_.reset();
    error_code error;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error)
        return close();
    waitReadable();
}

void CallerConnection::close()
{
    if (state_ == State::Closed)
        return;
    state_ = State::Closed;
    callerLeft_ = nullptr;
    for (auto *buffer : {&input_, &output_, &outputBody_})
        std::string().swap(*buffer);
    parser_.reset();
    requestBytes_ = 0;
    context_->options.memory->resize(context_->clock.now(), std::exchange(chargedBytes_, 0), 0);
    error_code ignored; // The descriptor is released whatever close() reports.
    socket_.close(ignored);
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>::unlink();
    MemoryHolder::unlink();
}

void CallerConnection::checkTimeouts(Base::Instant now)
{
    const boost::intrusive_ptr<CallerConnection> self(this);
    const auto &limits = context_->limits;
    if (state_ == State::Lingering && now - since_ > LingerTimeout)
        return close();
    if (hasOutput()) {
        if (!progress_.isTooSlow(now, std::max(WriteWindow, limits.idleTimeout)))
            return;
        context_->note(RefusalCause::AnswerNotTaken);
        return close();
    }
    if (state_ != State::Reading)
        return;
    if (requestStarted_ && now - since_ > limits.headerTimeout) {
        // A body may go on for as long as it moves; it may pause for as long as a caller may be idle.
        const bool hasHeader = parser_ && parser_->hasHeader();
        if (hasHeader && !progress_.isTooSlow(now, limits.idleTimeout))
            return;
        context_->note(RefusalCause::SlowRequest);
        refuse(408);
        return settle();
    }
    if (!requestStarted_ && now - since_ > limits.idleTimeout)
        close();
}

void CallerConnection::closeIfIdle()
{
    const boost::intrusive_ptr<CallerConnection> self(this);
    if (state_ != State::Reading)
        return;
    // A request may have arrived that the loop has not come to; closing over it would cut it off.
    readAvailable();
    if (state_ == State::Reading && !requestStarted_ && !hasOutput())
        linger();
}

void CallerConnection::detach()
{
    const boost::intrusive_ptr<CallerConnection> self(this);
    close();
    context_ = nullptr;
}

} // namespace Edge
