#pragma once

#include "LibBase/Clock.h"
#include "Soak/HttpCall.h"

#include <boost/intrusive/list.hpp>

namespace Soak {

/// The requests that a run has under way. Those left when the table goes are dropped without a result.
class HttpCalls
{
public:
    /// Receives the response, or null when there was none.
    using Done = std::function<void(const Edge::ResponseMessage *)>;

    explicit HttpCalls(Edge::Loop &loop)
        : loop_(loop)
    {
    }
    ~HttpCalls();
    HttpCalls(const HttpCalls &) = delete;
    HttpCalls &operator=(const HttpCalls &) = delete;

    /// Sends `request`; without a response within `patience` its caller leaves.
    void start(const std::string &address, std::string request, Base::Duration patience, Done done);

    /// Lets the callers leave whose patience is over, and frees what has ended.
    void sweep();

    std::size_t underWay() const { return underWay_.size(); }

private:
    using CallList = boost::intrusive::list<HttpCall>;

    Edge::Loop &loop_;
    Base::SystemClock clock_;
    CallList underWay_;
    CallList ended_; ///< Freed by the next sweep, because their connections may still be on the stack.
};

} // namespace Soak
