#include "LibHttp/MessageWriter.h"

#include <algorithm>
#include <fmt/format.h>

namespace Http {

namespace {

/// Line breaks inside a value would let it add headers of its own.
bool isSafe(const Header &header)
{
    const auto isControl = [](char c) { return c == '\r' || c == '\n' || c == '\0'; };
    return std::none_of(header.first.begin(), header.first.end(), isControl)
           && std::none_of(header.second.begin(), header.second.end(), isControl);
}

void appendHeaders(std::string &text, const std::vector<Header> &headers, std::size_t bodySize)
{
    for (const auto &header : headers) {
        if (isSafe(header))
            fmt::format_to(std::back_inserter(text), "{}: {}\r\n", header.first, header.second);
    }
    fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n\r\n", bodySize);
}

} // namespace

std::string formatRequest(const Request &request, std::string_view host)
{
    const auto *separator = request.query.empty() ? "" : "?";
    const std::string_view path = request.path.empty() ? "/" : std::string_view(request.path);
    auto text = fmt::format("{} {}{}{} HTTP/1.1\r\nHost: {}\r\n", request.method, path, separator,
                            request.query, host);
    appendHeaders(text, request.headers, request.body.size());
    text += request.body;
    return text;
}

std::string formatResponse(const Response &response, std::string_view statusText, bool closes)
{
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", response.status, statusText);
    if (closes)
        text += "Connection: close\r\n";
    appendHeaders(text, response.headers, response.body.size());
    text += response.body;
    return text;
}

} // namespace Http
