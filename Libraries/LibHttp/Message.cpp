#include "LibHttp/Message.h"

#include <algorithm>
#include <strings.h>

namespace Http {

namespace {

std::string_view findHeader(const std::vector<Header> &headers, std::string_view name)
{
    const auto matches = [name](const Header &header) {
        return header.first.size() == name.size()
               && strncasecmp(header.first.data(), name.data(), name.size()) == 0;
    };
    const auto found = std::find_if(headers.begin(), headers.end(), matches);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace

std::string_view Request::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view Response::header(std::string_view name) const
{
    return findHeader(headers, name);
}

} // namespace Http
