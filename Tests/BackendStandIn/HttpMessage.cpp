#include "BackendStandIn/HttpMessage.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace StandIn {

namespace {

constexpr std::size_t LargestHead = 65'536;
constexpr std::size_t LargestBody = 4'194'304;

std::string_view takeUntil(std::string_view &rest, std::string_view separator)
{
    const auto end = rest.find(separator);
    const auto part = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + separator.size());
    return part;
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return lower;
}

void parseHead(std::string_view head, HttpRequest &request)
{
    auto requestLine = takeUntil(head, "\r\n");
    request.method = takeUntil(requestLine, " ");
    auto target = takeUntil(requestLine, " ");
    request.path = takeUntil(target, "?");
    request.query = target;
    while (!head.empty()) {
        auto line = takeUntil(head, "\r\n");
        const auto name = lowerCase(takeUntil(line, ":"));
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        request.headers[name] = line;
    }
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<std::uint64_t> HttpRequest::number(std::string_view name) const
{
    const auto text = header(name);
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

HttpParse parseRequest(std::string_view buffer)
{
    HttpParse parse;
    const auto headEnd = buffer.find("\r\n\r\n");
    if (headEnd == std::string_view::npos) {
        parse.malformed = buffer.size() > LargestHead;
        return parse;
    }
    parseHead(buffer.substr(0, headEnd), parse.request);
    const auto length = parse.request.number("content-length").value_or(0);
    parse.malformed = length > LargestBody || !parse.request.header("transfer-encoding").empty()
                      || parse.request.path.empty();
    const auto bodyStart = headEnd + 4;
    if (parse.malformed || buffer.size() - bodyStart < length)
        return parse;
    parse.request.body = buffer.substr(bodyStart, length);
    parse.consumed = bodyStart + length;
    return parse;
}

std::string formatResponse(const HttpResponse &response)
{
    auto text =
        fmt::format("HTTP/1.1 {} Status\r\nContent-Length: {}\r\n", response.status, response.body.size());
    for (const auto &[name, value] : response.headers)
        text += fmt::format("{}: {}\r\n", name, value);
    return text + "\r\n" + response.body;
}

} // namespace StandIn
