#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Http {

using Header = std::pair<std::string, std::string>;

/// A request as a server handler sees it or a client sends it.
struct Request
{
    std::string method = "GET";
    std::string path; ///< Without the query string.
    std::string query; ///< Without the question mark.
    std::vector<Header> headers;
    std::string body;
    std::string remoteAddress; ///< Set by the server only.

    /// Returns the first header with this name, compared without case, or an empty view.
    std::string_view header(std::string_view name) const;
};

/// A whole response; its length is always stated to the receiver.
struct Response
{
    int status = 200;
    std::vector<Header> headers;
    std::string body;

    /// Returns the first header with this name, compared without case, or an empty view.
    std::string_view header(std::string_view name) const;
};

} // namespace Http
