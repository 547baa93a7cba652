#include "LibHttp/CivetWebServer.h"

#include "LibBase/Clock.h"
#include "LibBase/Log.h"
#include "LibHttp/CivetWebLibrary.h"
#include "LibHttp/ErrorResponse.h"
#include "LibHttp/HostAndPort.h"
#include "LibHttp/MessageWriter.h"

#include <algorithm>
#include <array>
#include <exception>
#include <fmt/format.h>
#include <optional>

namespace Http {

namespace {

constexpr Base::Log Log("http");

/// A connection without a next request for this long gives its thread back.
constexpr auto KeepAliveTimeoutMilliseconds = "5000";

/// Limit on the request line and all headers together.
constexpr auto MaxHeaderBytes = "16384";

/// Connections that wait for a free thread; further ones wait in the kernel's backlog.
constexpr auto ConnectionQueue = "64";

/// A request that brings no byte for this long gives its thread back.
constexpr Base::Duration LongestPause = Base::seconds(5);

constexpr std::size_t ReadChunkBytes = std::size_t {16} * 1024;
constexpr int StatusTooLarge = 413;
constexpr int FirstServerError = 500;

std::string_view orEmpty(const char *text)
{
    return text == nullptr ? std::string_view() : std::string_view(text);
}

bool asksToClose(const mg_connection *connection)
{
    const auto *value = mg_get_header(connection, "Connection");
    return value != nullptr && mg_strcasecmp(value, "close") == 0;
}

void send(mg_connection *connection, const Response &response, bool closes)
{
    const auto *statusText = mg_get_response_code_text(connection, response.status);
    const auto text = formatResponse(response, statusText, closes);
    if (closes)
        mg_disable_connection_keep_alive(connection);
    mg_write(connection, text.data(), text.size());
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/// Tells whether the headers leave no doubt about where the request ends. CivetWeb takes the first of several
/// lengths, prefers one to chunks, and passes over names with white space.
bool hasClearEnd(const mg_request_info &info)
{
    std::optional<std::string_view> length;
    bool chunked = false;
    for (int index = 0; index < info.num_headers; ++index) {
        const std::string_view name = orEmpty(info.http_headers[index].name);
        const std::string_view value = orEmpty(info.http_headers[index].value);
        if (name.find_first_of(" \t\r\n") != std::string_view::npos
            || value.find_first_of("\r\n") != std::string_view::npos)
            return false;
        if (mg_strcasecmp(info.http_headers[index].name, "Transfer-Encoding") == 0) {
            if (chunked || mg_strcasecmp(info.http_headers[index].value, "chunked") != 0)
                return false;
            chunked = true;
        } else if (mg_strcasecmp(info.http_headers[index].name, "Content-Length") == 0) {
            if (value.empty() || !std::all_of(value.begin(), value.end(), isDigit)
                || length.value_or(value) != value)
                return false;
            length = value;
        }
    }
    return !(chunked && length);
}

Request makeRequest(const mg_request_info &info, std::string body)
{
    Request request;
    request.method = orEmpty(info.request_method);
    request.path = orEmpty(info.local_uri);
    request.query = orEmpty(info.query_string);
    request.remoteAddress = fmt::format("{}:{}", info.remote_addr, info.remote_port);
    for (int index = 0; index < info.num_headers; ++index)
        request.headers.emplace_back(info.http_headers[index].name, info.http_headers[index].value);
    request.body = std::move(body);
    return request;
}

} // namespace

CivetWebServer::CivetWebServer(ServerOptions options)
    : options_(std::move(options))
    , bodies_(options_.maxBodiesBytes)
{
}

CivetWebServer::~CivetWebServer()
{
    shutDown();
}

Base::Result<void> CivetWebServer::start()
{
    auto address = HostAndPort::parse(options_.listenAddress);
    if (!address)
        return tl::unexpected<Base::Error>(address.error());
    initializeCivetWeb();
    const auto threads = std::to_string(options_.threads);
    const auto timeout = std::to_string(std::min<Base::Duration>(options_.requestTimeout, LongestPause)
                                        / Base::milliseconds(1));
    const std::array<const char *, 19> settings {
        "listening_ports",
        options_.listenAddress.c_str(),
        "num_threads",
        threads.c_str(),
        "request_timeout_ms",
        timeout.c_str(),
        "enable_keep_alive",
        "yes",
        "keep_alive_timeout_ms",
        KeepAliveTimeoutMilliseconds,
        "tcp_nodelay",
        "1",
        "max_request_size",
        MaxHeaderBytes,
        "connection_queue",
        ConnectionQueue,
        "enable_directory_listing",
        "no",
        nullptr,
    };
    mg_callbacks callbacks {};
    callbacks.begin_request = &beginRequest;
    callbacks.http_error = &sendError;
    callbacks.log_message = &dropLogMessage;
    auto pointers = settings;
    context_ = mg_start(&callbacks, this, pointers.data());
    if (context_ == nullptr)
        return Base::fail(Base::ErrorKind::SettingInvalid,
                          fmt::format("cannot listen on {}", options_.listenAddress));
    mg_server_port port {};
    mg_get_server_ports(context_, 1, &port);
    address->port = static_cast<std::uint16_t>(port.port);
    listenAddress_ = address->toString();
    return {};
}

void CivetWebServer::shutDown()
{
    {
        std::unique_lock lock(mutex_);
        shuttingDown_ = true;
        // CivetWeb drops responses that are written after its stop has begun.
        idle_.wait(lock, [this] { return activeRequests_ == 0; });
    }
    if (context_ != nullptr)
        mg_stop(std::exchange(context_, nullptr));
}

int CivetWebServer::beginRequest(mg_connection *connection)
{
    auto *server = static_cast<CivetWebServer *>(mg_get_user_data(mg_get_context(connection)));
    server->serve(connection);
    return 1;
}

int CivetWebServer::sendError(mg_connection *connection, int status, const char *message)
{
    auto kind = Base::ErrorKind::InvalidRequest;
    if (status == StatusTooLarge)
        kind = Base::ErrorKind::RequestTooLarge;
    else if (status >= FirstServerError)
        kind = Base::ErrorKind::Internal;
    send(connection, errorResponse({kind, std::string(orEmpty(message))}), true);
    return 0;
}

int CivetWebServer::dropLogMessage(const mg_connection * /*connection*/, const char *message)
{
    Log.debug("Message of the HTTP library.", {{"text", message}});
    return 1;
}

void CivetWebServer::serve(mg_connection *connection)
{
    const auto *info = mg_get_request_info(connection);
    if (!enterRequest()) {
        send(connection, errorResponse({Base::ErrorKind::ShuttingDown, {}}), true);
        return;
    }
    bool closes = orEmpty(info->http_version) != "1.1" || asksToClose(connection);
    const bool isClear = hasClearEnd(*info);
    closes = closes || !isClear;
    const auto response =
        isClear ? respond(connection, *info, closes)
                : errorResponse({Base::ErrorKind::InvalidRequest, "the end of the request is unclear"});
    send(connection, response, closes);
    leaveRequest();
}

Response CivetWebServer::respond(mg_connection *connection, const mg_request_info &info, bool &closes)
{
    BodyMemory::Charge charge(bodies_);
    auto body = readBody(connection, info, charge);
    if (!body) {
        // The rest of the body is unread, so the connection cannot carry another request.
        closes = true;
        return errorResponse(body.error());
    }
    return callHandler(makeRequest(info, std::move(*body)));
}

Base::Result<std::string> CivetWebServer::readBody(mg_connection *connection, const mg_request_info &info,
                                                   BodyMemory::Charge &charge) const
{
    const auto tooLarge = [this] {
        return Base::fail(Base::ErrorKind::RequestTooLarge,
                          fmt::format("the body exceeds {} bytes", options_.maxBodyBytes));
    };
    const auto expected = info.content_length;
    if (expected > static_cast<long long>(options_.maxBodyBytes))
        return tooLarge();
    const auto *expectation = mg_get_header(connection, "Expect");
    if (expectation != nullptr && mg_strcasecmp(expectation, "100-continue") == 0)
        mg_printf(connection, "HTTP/1.1 100 Continue\r\n\r\n");

    const Base::SystemClock clock;
    const auto deadline = clock.now() + options_.requestTimeout;
    std::string body;
    std::array<char, ReadChunkBytes> chunk; // NOLINT: filled by mg_read().
    while (true) {
        const auto count = mg_read(connection, chunk.data(), chunk.size());
        if (count < 0)
            return Base::fail(Base::ErrorKind::InvalidRequest, "the body is truncated or malformed");
        if (count == 0)
            break;
        const auto size = body.size() + static_cast<std::size_t>(count);
        if (size > options_.maxBodyBytes)
            return tooLarge();
        // Grows by halves, so that little is held that no byte has arrived for.
        const auto capacity =
            size <= body.capacity() ? body.capacity() : std::max(size, body.capacity() + body.capacity() / 2);
        if (!charge.growTo(capacity))
            return Base::fail(Base::ErrorKind::Overloaded, "the memory for requests is used up");
        body.reserve(capacity);
        body.append(chunk.data(), static_cast<std::size_t>(count));
        if (clock.now() > deadline)
            return Base::fail(Base::ErrorKind::InvalidRequest, "the body arrived too slowly");
    }
    if (expected > 0 && body.size() != static_cast<std::size_t>(expected))
        return Base::fail(Base::ErrorKind::InvalidRequest, "the body is shorter than its Content-Length");
    return body;
}

Response CivetWebServer::callHandler(const Request &request) const
{
    try {
        return options_.handler(request);
    } catch (const std::exception &exception) {
        Log.error("A request handler failed.", {{"path", request.path}, {"reason", exception.what()}});
        return errorResponse({Base::ErrorKind::Internal, "the handler failed"});
    }
}

bool CivetWebServer::enterRequest()
{
    const std::lock_guard lock(mutex_);
    if (shuttingDown_)
        return false;
    ++activeRequests_;
    return true;
}

void CivetWebServer::leaveRequest()
{
    const std::lock_guard lock(mutex_);
    if (--activeRequests_ == 0)
        idle_.notify_all();
}

Base::Result<std::unique_ptr<Server>> Server::create(ServerOptions options)
{
    auto server = std::make_unique<CivetWebServer>(std::move(options));
    if (const auto started = server->start(); !started)
        return tl::unexpected<Base::Error>(started.error());
    return server;
}

} // namespace Http
