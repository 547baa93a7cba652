#pragma once

#include "LibBackend/Action.h"

#include <boost/intrusive/set.hpp>
#include <string>

namespace Backend {

enum class AttemptState : std::uint8_t {
    Queued,
    InFlight, ///< Dispatched; the sender still waits.
    Abandoned ///< Dispatched; the sender was answered or cancelled, but the slot is still in use.
};

/// One sub-request at its owner, linked into the queue of its server while it waits.
struct Attempt : boost::intrusive::set_base_hook<>
{
    SenderToken sender = 0;
    Wire::ExecuteSubrequestRequest request;
    Base::Instant deadline {};
    Base::Instant queuedAt {};
    Base::Instant dispatchedAt {};
    std::uint64_t sequence = 0; ///< Order of arrival; breaks ties of equal deadlines.
    AttemptState state = AttemptState::Queued;
    ConnectionId connectionId = 0;
};

struct EarlierDeadline
{
    bool operator()(const Attempt &left, const Attempt &right) const
    {
        return left.deadline != right.deadline ? left.deadline < right.deadline
                                               : left.sequence < right.sequence;
    }
};

/// Queue of one server, earliest deadline first. Attempts are owned by the AttemptTable.
using AttemptQueue = boost::intrusive::multiset<Attempt, boost::intrusive::compare<EarlierDeadline>>;

} // namespace Backend
