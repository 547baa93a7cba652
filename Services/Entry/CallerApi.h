#pragma once

#include "LibHttp/Message.h"
#include "Services/Entry/EntryLoop.h"

#include <memory>

namespace Services {

/// Serves the HTTP calls of docs/HTTP.md; each runs on a thread of the HTTP server and waits for its answer.
class CallerApi
{
public:
    explicit CallerApi(EntryContext context)
        : context_(std::move(context))
    {
    }

    /// Must be called before the loop runs; events wait until then.
    void setLoop(EntryLoop *loop) { loop_ = loop; }

    Http::Response handle(const Http::Request &request);

private:
    Http::Response query(const Http::Request &request);
    Http::Response status();
    Http::Response metrics() const;

    EntryContext context_;
    Base::SystemClock clock_;
    EntryLoop *loop_ = nullptr; ///< Used on the decision thread only.
};

} // namespace Services
