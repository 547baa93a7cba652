#pragma once

#include "LibHttp/Message.h"

#include <string>
#include <string_view>
#include <vector>

namespace Edge {

/// A whole request with its target as it was received, for passing it on unchanged. It has no trailers: its
/// body is known in full length, so nothing would announce them.
struct RequestMessage
{
    std::string method;
    std::string target; ///< Path and query.
    std::vector<Http::Header> headers;
    std::string body;
    bool hasBody = false; ///< A length or chunks were given, even if the body is empty.
    bool bodyDropped = false; ///< `body` is empty, because its server does not want it.
    bool keepAlive = true;

    /// Returns the first header with this name, compared without case, or an empty view.
    std::string_view header(std::string_view name) const;
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
    std::string_view query() const;
};

/// A whole response with what its sender said about the connection.
struct ResponseMessage
{
    int status = 200;
    std::string reason;
    std::vector<Http::Header> headers;
    std::string body;
    bool keepAlive = true;

    /// Returns the first header with this name, compared without case, or an empty view.
    std::string_view header(std::string_view name) const;
};

/// Tells whether the header concerns one connection only and must not be forwarded. `connectionOptions` is
/// the value of the message's own Connection header.
bool isConnectionHeader(std::string_view name, std::string_view connectionOptions);

/// Compares header names or tokens without case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Whether answers with this status have no body by definition (RFC 9110, section 6.4.1).
bool isBodiless(int status);

/// Formats a response with its length; `closes` announces that the connection ends after it. Headers of one
/// connection and lengths in `response` are left out. The body is left out when `withoutBody` (HEAD).
std::string formatResponse(const ResponseMessage &response, bool closes, bool withoutBody = false);

/// Returns the usual reason phrase of a status.
std::string_view reasonPhrase(int status);

} // namespace Edge
