#include "Services/Gateway/ForwardedHead.h"

#include <fmt/format.h>

namespace Services {

std::string forwardedHead(const Edge::RequestMessage &request, const Adapter::HeaderNames &names,
                          const Route::Configuration &configuration, const Route::TenantRule *tenant)
{
    const bool needsKeys = configuration.needsKeys();
    const auto options = request.header("Connection");
    auto head = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (const auto &[name, value] : request.headers) {
        if (Edge::isConnectionHeader(name, options) || Edge::equalsIgnoringCase(name, "Content-Length")
            || Edge::equalsIgnoringCase(name, "Expect") || Edge::equalsIgnoringCase(name, names.deadline)
            || Edge::equalsIgnoringCase(name, names.targetServer))
            continue;
        if (needsKeys
            && (Edge::equalsIgnoringCase(name, names.callerKey)
                || Edge::equalsIgnoringCase(name, names.tenant)))
            continue;
        fmt::format_to(std::back_inserter(head), "{}: {}\r\n", name, value);
    }
    if (tenant != nullptr)
        fmt::format_to(std::back_inserter(head), "{}: {}\r\n", names.tenant, tenant->name);
    if (request.hasBody)
        fmt::format_to(std::back_inserter(head), "Content-Length: {}\r\n", request.body.size());
    return head;
}

} // namespace Services
