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
/// Longest time in which a caller must take an answer.
constexpr Base::Duration WriteTimeout = Base::seconds(20);

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
    if (reading_ || state_ == State::Closed)
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
    error_code error;
    auto &buffer = readBuffer();
    const auto size = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block || error == asio::error::try_again)
        return waitReadable();
    if (error || size == 0) {
        noteCallerGone();
        return close();
    }
    takeInput({buffer.data(), size});
    if (state_ == State::Closed)
        return;
    // Unread bytes stay in the socket, so the caller's sending stalls instead of this process's memory
    // growing.
    if (state_ != State::Handling || input_.size() < MaxPipelinedBytes)
        waitReadable();
}

void CallerConnection::takeInput(std::string_view input)
{
    if (state_ == State::Lingering)
        return;
    if (state_ == State::Reading && !requestStarted_) {
        requestStarted_ = true;
        since_ = context_->clock.now();
    }
    input_ += input;
    if (state_ == State::Reading)
        parseInput();
}

void CallerConnection::parseInput()
{
    if (input_.empty())
        return;
    if (!parser_)
        parser_.emplace(context_->limits.maxHeaderBytes, context_->limits.maxBodyBytes);
    const bool hadHeader = parser_->hasHeader();
    const auto parsed = parser_->feed(input_);
    input_.erase(0, parsed.consumed);
    if (parsed.error)
        return refuse(statusOfParseError(parsed.error));
    if (parsed.done)
        return handleRequest();
    if (input_.size() > MaxUnparsedBytes)
        return refuse(413);
    if (!hadHeader && parser_->hasHeader() && parser_->expectsContinue())
        write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::handleRequest()
{
    const auto request = parser_->take();
    parser_.reset();
    ++sequence_;
    state_ = State::Handling;
    since_ = context_->clock.now();
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
    ++sequence_;
    write(formatResponse(response, true));
}

void CallerConnection::respond(std::uint64_t sequence, const ResponseMessage &response)
{
    if (state_ != State::Handling || sequence != sequence_ || closesAfterWrite_)
        return;
    callerLeft_ = nullptr;
    // A request that was read behind this one gets an answer as well, and the last answer closes the
    // connection.
    closesAfterWrite_ = !keepAlive_ || (context_->draining && input_.empty());
    // The request is over; its sequence number must not be answered again.
    ++sequence_;
    write(formatResponse(response, closesAfterWrite_, headRequest_));
    if (!closesAfterWrite_) {
        state_ = State::Reading;
        since_ = context_->clock.now();
        // Requests that were sent early are handled from the loop, so that a long row of them does not nest.
        if (!input_.empty()) {
            requestStarted_ = true;
            asio::post(socket_.get_executor(), [self = boost::intrusive_ptr<CallerConnection>(this)] {
                if (self->state_ == State::Reading && self->context_ != nullptr)
                    self->parseInput();
            });
        }
        waitReadable();
    }
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

void CallerConnection::write(std::string_view text)
{
    output_ += text;
    if (!writing_)
        continueWrite();
}

void CallerConnection::continueWrite()
{
    error_code error;
    const auto rest = std::string_view(output_).substr(outputSent_);
    const auto sent = rest.empty() ? 0 : socket_.write_some(asio::buffer(rest.data(), rest.size()), error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        noteCallerGone();
        return close();
    }
    if (!error)
        outputSent_ += sent;
    if (outputSent_ == output_.size()) {
        output_.clear();
        output_.shrink_to_fit();
        outputSent_ = 0;
        return finishWrite();
    }
    writing_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = boost::intrusive_ptr<CallerConnection>(this)](const error_code &waitError) {
                           self->writing_ = false;
                           if (!waitError && self->state_ != State::Closed)
                               self->continueWrite();
                       });
}

void CallerConnection::finishWrite()
{
    if (closesAfterWrite_)
        linger();
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
    input_.clear();
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
    error_code ignored; // The descriptor is released whatever close() reports.
    socket_.close(ignored);
    unlink();
}

void CallerConnection::checkTimeouts(Base::Instant now)
{
    const boost::intrusive_ptr<CallerConnection> self(this);
    const auto &limits = context_->limits;
    if (state_ == State::Lingering && now - since_ > LingerTimeout)
        return close();
    if (!output_.empty() && now - since_ > WriteTimeout)
        return close();
    if (state_ != State::Reading)
        return;
    if (requestStarted_ && now - since_ > limits.headerTimeout) {
        // A body may take as long as a caller may be idle.
        if (parser_ && parser_->hasHeader() && now - since_ <= limits.idleTimeout)
            return;
        return refuse(408);
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
    if (state_ == State::Reading && !requestStarted_ && output_.empty())
        linger();
}

void CallerConnection::detach()
{
    const boost::intrusive_ptr<CallerConnection> self(this);
    close();
    context_ = nullptr;
}

} // namespace Edge
