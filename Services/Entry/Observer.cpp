#include "Services/Entry/Observer.h"

namespace Services {

namespace {

constexpr Base::Duration ObserveTimeout = Base::milliseconds(1000);

} // namespace

Observer::Observer(Peer::Endpoint &endpoint, EventQueue &events, std::string entryId, Observed observed)
    : endpoint_(endpoint)
    , events_(events)
    , entryId_(std::move(entryId))
    , observed_(std::move(observed))
{
}

void Observer::poll(const Wire::Directory &directory)
{
    std::set<std::string> owners;
    for (const auto &share : directory.shares)
        owners.insert(share.entryId);
    for (const auto &entry : directory.entries) {
        if (entry.entryId != entryId_ && owners.contains(entry.entryId) && open_.insert(entry.entryId).second)
            ask(entry);
    }
}

void Observer::ask(const Wire::EntryRecord &owner)
{
    auto done = [this, ownerId = owner.entryId](const Base::Result<Base::Bytes> &result) {
        auto reply = result ? Wire::decode<Wire::ObserveBackendsReply>(*result)
                            : Base::Result<Wire::ObserveBackendsReply>(tl::unexpect, result.error());
        events_.post([this, ownerId, reply = std::move(reply)] {
            open_.erase(ownerId);
            if (reply)
                observed_(ownerId, reply->servers);
        });
    };
    endpoint_.call(owner.peerAddress, Wire::Method::ObserveBackends,
                   Wire::encode(Wire::ObserveBackendsRequest {entryId_}), ObserveTimeout, std::move(done));
}

} // namespace Services
