#include "LibHttp/CivetWebClient.h"

#include "LibBase/Clock.h"
#include "LibHttp/MessageWriter.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <strings.h>

namespace Http {

namespace {

constexpr std::size_t ErrorTextBytes = 256;

/// Statuses of answers; interim ones are not read.
constexpr int MinFinalStatus = 200;
constexpr int MaxStatus = 599;

/// Statuses that carry no body and need no Content-Length.
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;

auto lost(std::string detail)
{
    return Base::fail(Base::ErrorKind::BackendReplyLost, std::move(detail));
}

bool hasNoBody(int status)
{
    return status == StatusNoContent || status == StatusNotModified;
}

} // namespace

CivetWebClient::CivetWebClient(ConnectionPointer connection, std::string address)
    : connection_(std::move(connection))
    , address_(std::move(address))
{
}

tl::expected<Response, ExchangeError> CivetWebClient::exchange(const Request &request, Base::Duration timeout)
{
    const auto unreachable = [](std::string detail) {
        return ExchangeError {{Base::ErrorKind::BackendUnreachable, std::move(detail)}, SendState::NotSent};
    };
    if (!usable_)
        return tl::make_unexpected(unreachable("the connection is closed"));
    // One write, so that a failure with no byte sent is told apart from any other.
    const auto text = formatRequest(request, address_);
    const auto written = mg_write(connection_.get(), text.data(), text.size());
    if (written <= 0) {
        usable_ = false;
        return tl::make_unexpected(unreachable("the connection broke before the request was sent"));
    }
    auto response = static_cast<std::size_t>(written) == text.size()
                        ? receive(timeout)
                        : Base::Result<Response>(lost("the connection broke while the request was sent"));
    if (!response) {
        usable_ = false;
        return tl::make_unexpected(ExchangeError {response.error(), SendState::Sent});
    }
    return std::move(*response);
}

Base::Result<Response> CivetWebClient::receive(Base::Duration timeout)
{
    const Base::SystemClock clock;
    const auto deadline = clock.now() + timeout;
    std::array<char, ErrorTextBytes> errorText {};
    const auto wait = std::max<std::int64_t>(timeout / Base::milliseconds(1), 1);
    if (mg_get_response(connection_.get(), errorText.data(), errorText.size(), static_cast<int>(wait)) < 0)
        return lost(errorText.data());
    const auto *info = mg_get_response_info(connection_.get());
    if (info == nullptr)
        return lost("the response could not be parsed");

    const std::string_view version = info->http_version == nullptr ? "" : info->http_version;
    if (version != "1.1" && version != "1.0")
        return lost("the response is of another version of the protocol");
    if (info->status_code < MinFinalStatus || info->status_code > MaxStatus)
        return lost("the response has no final status");

    Response response;
    response.status = info->status_code;
    for (int index = 0; index < info->num_headers; ++index)
        response.headers.emplace_back(info->http_headers[index].name, info->http_headers[index].value);
    if (strcasecmp(std::string(response.header("Connection")).c_str(), "close") == 0)
        usable_ = false;
    if (!response.header("Transfer-Encoding").empty())
        return lost("the response does not state its length");
    if (response.header("Content-Length").empty() && hasNoBody(response.status))
        return response;
    if (response.header("Content-Length").empty() || info->content_length < 0)
        return lost("the response does not state its length");
    auto body = readBody(info->content_length, deadline);
    if (!body)
        return tl::unexpected<Base::Error>(body.error());
    response.body = std::move(*body);
    return response;
}

Base::Result<std::string> CivetWebClient::readBody(long long length, Base::Instant deadline)
{
    if (length > static_cast<long long>(MaxResponseBytes))
        return lost(fmt::format("the response exceeds {} bytes", MaxResponseBytes));
    const Base::SystemClock clock;
    std::string body(static_cast<std::size_t>(length), '\0');
    std::size_t received = 0;
    while (received < body.size()) {
        if (clock.now() > deadline)
            return lost("timeout inside the response body");
        const auto count = mg_read(connection_.get(), body.data() + received, body.size() - received);
        if (count <= 0)
            return lost("the response body is truncated");
        received += static_cast<std::size_t>(count);
    }
    return body;
}

} // namespace Http
