#pragma once

#include "LibAdapter/PlatformAdapter.h"
#include "LibBase/Clock.h"
#include "LibEdge/BackendConnection.h"
#include "LibEdge/Loop.h"

#include <functional>
#include <memory>
#include <string>

namespace Services {

/// Reads the platform's list of backend servers page by page over one persistent connection.
class ServerListReader final : public Edge::BackendConnectionEvents
{
public:
    /// Entries of a list that name no server.
    struct Unreadable
    {
        std::size_t count = 0;
        std::string sample; ///< First bytes of the first of them.
    };

    /// Receives a complete list with its digest, or the error.
    using ReadCallback = std::function<void(Base::Result<Wire::ServerList>, const Unreadable &)>;

    ServerListReader(Edge::Loop &loop, const Adapter::PlatformAdapter &adapter, std::string address);

    bool isReading() const { return static_cast<bool>(callback_); }
    /// Number of pages requested by the latest read.
    std::size_t pagesRead() const { return pages_; }
    void read(Base::Instant now, ReadCallback callback);
    /// Fails a read that exceeds its timeout.
    void checkTimeout(Base::Instant now);

private:
    void requestPage();
    /// Pages of the list carry no request id, so each response is accepted.
    bool answersRequest(const Edge::ResponseMessage &) override { return true; }
    void replyArrived(Edge::ResponseMessage response) override;
    void exchangeFailed(Edge::ExchangeFailure failure, const std::string &detail) override;
    void idleConnectionEnded() override { }
    void fail(Base::ErrorKind kind, const std::string &detail);
    void finish();

    Edge::Loop &loop_;
    const Adapter::PlatformAdapter &adapter_;
    std::string address_;
    Base::SystemClock clock_;
    Edge::ReplyMemory memory_;
    std::unique_ptr<Edge::BackendConnection> connection_;
    ReadCallback callback_;
    Base::Instant startedAt_;
    std::string page_;
    std::size_t pages_ = 0;
    Unreadable unreadable_;
    std::vector<Wire::ServerRecord> servers_;
};

} // namespace Services
