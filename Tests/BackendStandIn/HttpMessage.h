#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace StandIn {

/// One request as read from a connection.
struct HttpRequest
{
    std::string method;
    std::string path; ///< Without the query string.
    std::string query; ///< Without the question mark.
    std::map<std::string, std::string, std::less<>> headers; ///< Names in lower case.
    std::string body;

    /// Returns the header with this lower-case name, or an empty view.
    std::string_view header(std::string_view name) const;

    /// Returns the header as a number, or nothing when it is missing or malformed.
    std::optional<std::uint64_t> number(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    std::map<std::string, std::string, std::less<>> headers;
    std::string body;
};

/// Result of looking for one whole request at the start of a buffer.
struct HttpParse
{
    bool malformed = false;
    std::size_t consumed = 0; ///< 0 while the request is not complete.
    HttpRequest request;
};

HttpParse parseRequest(std::string_view buffer);
std::string formatResponse(const HttpResponse &response);

} // namespace StandIn
