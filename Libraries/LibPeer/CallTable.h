#pragma once

#include "LibBase/Bytes.h"
#include "LibBase/Time.h"
#include "LibPeer/Endpoint.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Peer {

/// One outgoing call until its handler has run.
struct Call
{
    CallId id = 0;
    Wire::Method method = Wire::Method::RaftMessage;
    Base::Bytes payload;
    Base::Instant deadline;
    ReplyHandler done;
    std::uint64_t connection = 0; ///< Connection that carries it.
    bool sent = false; ///< A byte of the request may have left this process.
};

/// All outgoing calls with their deadlines; runs each handler exactly once. Used on the loop thread only.
class CallTable
{
public:
    void add(Call call);
    Call *find(CallId id);

    /// Removes the call and runs its handler; ignores calls that are already complete.
    void complete(CallId id, Base::Result<Base::Bytes> result);

    /// Completes with PeerReplyLost when the request may have been sent, else with PeerUnreachable.
    void completeAsLost(CallId id, const std::string &reason);

    std::vector<CallId> expired(Base::Instant now) const;
    std::optional<Base::Instant> nextDeadline() const;
    std::vector<CallId> ids() const;
    bool empty() const { return calls_.empty(); }

private:
    std::unordered_map<CallId, Call> calls_;
    std::set<std::pair<Base::Instant, CallId>> deadlines_;
};

} // namespace Peer
