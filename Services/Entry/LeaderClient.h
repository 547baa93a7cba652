#pragma once

#include "LibPeer/Endpoint.h"
#include "Services/Entry/EventQueue.h"

#include <memory>
#include <string>
#include <vector>

namespace Services {

/// Runs on the decision thread with the reply of a control process.
using LeaderReply = std::function<void(Base::Result<Base::Bytes>)>;

/// Calls the control leader and finds it again after it changed. Used on the decision thread only.
class LeaderClient
{
public:
    /// Which failures allow another try with another control process.
    enum class Repeat {
        OnlyUnsent, ///< Errors that prove that the leader did not get the call, for example NotLeader.
        Always ///< Also errors that leave it open, for calls that may be carried out twice.
    };

    LeaderClient(Peer::Endpoint &endpoint, EventQueue &events, const Base::Clock &clock,
                 std::vector<std::string> addresses);

    /// Calls until a process that leads replies or `timeout` has passed. Without any process reached, the
    /// error is ControlUnavailable.
    void call(Wire::Method method, Base::Bytes payload, Base::Duration timeout, Repeat repeat,
              LeaderReply done);

    /// Makes one call to the presumed leader; a failure moves on to the next process for later calls.
    void callOnce(Wire::Method method, Base::Bytes payload, Base::Duration timeout, LeaderReply done);

private:
    struct Pending;

    void attempt(const std::shared_ptr<Pending> &pending);
    void finished(const std::shared_ptr<Pending> &pending, Base::Result<Base::Bytes> result);
    void moveOn(const std::string &from, const Base::Error &error);

    Peer::Endpoint &endpoint_;
    EventQueue &events_;
    const Base::Clock &clock_;
    std::vector<std::string> addresses_;
    std::size_t current_ = 0;
};

} // namespace Services
