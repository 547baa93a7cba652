#include "Services/Entry/LeaderClient.h"

#include <algorithm>

namespace Services {

using Base::ErrorKind;

namespace {

/// Pause between two tries of a call, so that an election is not met with a storm of calls.
constexpr Base::Duration RetryPause = Base::milliseconds(30);

/// A try is given up earlier than the call, so that a silent process leaves time for another one.
constexpr Base::Duration AttemptTimeout = Base::milliseconds(1000);

bool leaderDidNotGetIt(ErrorKind kind)
{
    return kind == ErrorKind::PeerUnreachable || kind == ErrorKind::NotLeader
           || kind == ErrorKind::Unauthorized || kind == ErrorKind::ControlUnavailable;
}

/// Errors that leave open whether the leader carries the call out. A leader that shuts down also answers
/// calls that it has already proposed.
bool leavesOpen(ErrorKind kind)
{
    return kind == ErrorKind::PeerReplyLost || kind == ErrorKind::OutcomeUnknown
           || kind == ErrorKind::ShuttingDown;
}

/// Errors that the leader itself gave; another control process would not give a better answer.
bool isLeadersAnswer(ErrorKind kind)
{
    return kind == ErrorKind::LeaseExpired || kind == ErrorKind::InvalidRequest
           || kind == ErrorKind::MalformedMessage || kind == ErrorKind::NotFound;
}

} // namespace

struct LeaderClient::Pending
{
    Wire::Method method = Wire::Method::RenewLease;
    Base::Bytes payload;
    Base::Instant deadline;
    Repeat repeat = Repeat::OnlyUnsent;
    LeaderReply done;
    std::string address;
    bool maybeReceived = false; ///< An earlier try may have reached the leader.
};

LeaderClient::LeaderClient(Peer::Endpoint &endpoint, EventQueue &events, const Base::Clock &clock,
                           std::vector<std::string> addresses)
    : endpoint_(endpoint)
    , events_(events)
    , clock_(clock)
    , addresses_(std::move(addresses))
{
}

void LeaderClient::call(Wire::Method method, Base::Bytes payload, Base::Duration timeout, Repeat repeat,
                        LeaderReply done)
{
    auto pending = std::make_shared<Pending>();
    pending->method = method;
    pending->payload = std::move(payload);
    pending->deadline = clock_.now() + timeout;
    pending->repeat = repeat;
    pending->done = std::move(done);
    attempt(pending);
}

void LeaderClient::attempt(const std::shared_ptr<Pending> &pending)
{
    const auto left = pending->deadline - clock_.now();
    if (left.count() <= 0) {
        const auto kind = pending->maybeReceived ? ErrorKind::PeerReplyLost : ErrorKind::ControlUnavailable;
        pending->done(Base::fail(kind, "no control leader replied in time"));
        return;
    }
    // A call that must not be sent twice keeps its whole time for the one try that reaches the leader.
    const auto timeout = pending->repeat == Repeat::Always ? std::min(left, AttemptTimeout) : left;
    pending->address = addresses_[current_];
    endpoint_.call(pending->address, pending->method, pending->payload, timeout,
                   [this, pending](Base::Result<Base::Bytes> result) {
                       events_.post([this, pending, result = std::move(result)]() mutable {
                           finished(pending, std::move(result));
                       });
                   });
}

void LeaderClient::finished(const std::shared_ptr<Pending> &pending, Base::Result<Base::Bytes> result)
{
    if (result) {
        pending->done(std::move(result));
        return;
    }
    const auto &error = result.error();
    const bool unsent = leaderDidNotGetIt(error.kind);
    const bool lost = leavesOpen(error.kind);
    pending->maybeReceived = pending->maybeReceived || lost;
    if (!unsent && !lost) {
        pending->done(std::move(result));
        return;
    }
    moveOn(pending->address, error);
    if (!unsent && pending->repeat == Repeat::OnlyUnsent) {
        pending->done(std::move(result));
        return;
    }
    events_.postAt(clock_.now() + RetryPause, [this, pending] { attempt(pending); });
}

void LeaderClient::moveOn(const std::string &from, const Base::Error &error)
{
    // Several calls may fail on one process; only the first of them moves on.
    if (addresses_[current_] != from || isLeadersAnswer(error.kind))
        return;
    const auto hinted = std::find(addresses_.begin(), addresses_.end(), error.detail);
    if (error.kind == ErrorKind::NotLeader && hinted != addresses_.end() && *hinted != from)
        current_ = static_cast<std::size_t>(hinted - addresses_.begin());
    else
        current_ = (current_ + 1) % addresses_.size();
}

void LeaderClient::callOnce(Wire::Method method, Base::Bytes payload, Base::Duration timeout,
                            LeaderReply done)
{
    const auto address = addresses_[current_];
    endpoint_.call(address, method, std::move(payload), timeout,
                   [this, address, done = std::move(done)](Base::Result<Base::Bytes> result) {
                       events_.post([this, address, done, result = std::move(result)]() mutable {
                           if (!result)
                               moveOn(address, result.error());
                           done(std::move(result));
                       });
                   });
}

} // namespace Services
