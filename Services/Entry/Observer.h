#pragma once

#include "LibPeer/Endpoint.h"
#include "LibWire/Directory.h"
#include "LibWire/SubrequestMessages.h"
#include "Services/Entry/EventQueue.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace Services {

/// Polls the other owners for the state of their backend servers. Used on the decision thread only.
class Observer
{
public:
    using Observed =
        std::function<void(const std::string &ownerEntryId, const std::vector<Wire::ServerObservation> &)>;

    Observer(Peer::Endpoint &endpoint, EventQueue &events, std::string entryId, Observed observed);

    /// Asks each other owner in the directory unless an earlier question to it is open.
    void poll(const Wire::Directory &directory);

private:
    void ask(const Wire::EntryRecord &owner);

    Peer::Endpoint &endpoint_;
    EventQueue &events_;
    std::string entryId_;
    Observed observed_;
    std::set<std::string> open_; ///< Entry ids.
};

} // namespace Services
