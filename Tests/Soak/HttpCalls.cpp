#include "Soak/HttpCalls.h"

#include <memory>

namespace Soak {

HttpCalls::~HttpCalls()
{
    underWay_.clear_and_dispose(std::default_delete<HttpCall>());
    ended_.clear_and_dispose(std::default_delete<HttpCall>());
}

void HttpCalls::start(const std::string &address, std::string request, Base::Duration patience, Done done)
{
    auto ended = [this, done = std::move(done)](HttpCall &call, const Edge::ResponseMessage *response) {
        underWay_.erase(underWay_.iterator_to(call));
        ended_.push_back(call);
        done(response);
    };
    auto call = std::make_unique<HttpCall>(loop_, address, std::move(request), clock_.now() + patience,
                                           std::move(ended));
    underWay_.push_back(*call.release());
}

void HttpCalls::sweep()
{
    ended_.clear_and_dispose(std::default_delete<HttpCall>());
    const auto now = clock_.now();
    for (auto next = underWay_.begin(); next != underWay_.end();) {
        auto &call = *next++;
        if (now >= call.leavesAt())
            call.leave();
    }
}

} // namespace Soak
