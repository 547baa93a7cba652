#include "LibEdge/RequestMessage.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace Edge {

namespace {

boost::beast::string_view toBeast(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view findHeader(const std::vector<Http::Header> &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (equalsIgnoringCase(header.first, name))
            return header.second;
    }
    return {};
}

} // namespace

std::string_view RequestMessage::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view RequestMessage::query() const
{
    const auto mark = target.find('?');
    return mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
}

std::string_view ResponseMessage::header(std::string_view name) const
{
    return findHeader(headers, name);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return boost::beast::iequals(toBeast(left), toBeast(right));
}

bool isConnectionHeader(std::string_view name, std::string_view connectionOptions)
{
    static constexpr std::array<std::string_view, 9> Names {"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade"};
    const auto isName = [name](std::string_view other) { return equalsIgnoringCase(name, other); };
    if (std::any_of(Names.begin(), Names.end(), isName))
        return true;
    if (connectionOptions.empty())
        return false;
    const boost::beast::http::token_list options(toBeast(connectionOptions));
    return std::any_of(options.begin(), options.end(), [&](const auto &option) {
        return isName({option.data(), option.size()});
    });
}

std::string_view reasonPhrase(int status)
{
    const auto reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {reason.data(), reason.size()};
}

bool isBodiless(int status)
{
    return status == 204 || status == 304;
}

std::string formatResponse(const ResponseMessage &response, bool closes, bool withoutBody)
{
    std::string text;
    text.reserve(256 + response.body.size());
    fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\n", response.status,
                   response.reason.empty() ? reasonPhrase(response.status) : response.reason);
    const auto options = response.header("Connection");
    for (const auto &[name, value] : response.headers) {
        if (!isConnectionHeader(name, options) && !equalsIgnoringCase(name, "Content-Length"))
            fmt::format_to(std::back_inserter(text), "{}: {}\r\n", name, value);
    }
    if (closes)
        text += "Connection: close\r\n";
    const bool bodiless = isBodiless(response.status);
    if (!bodiless)
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", response.body.size());
    text += "\r\n";
    if (!withoutBody && !bodiless)
        text += response.body;
    return text;
}

} // namespace Edge
