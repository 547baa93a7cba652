#pragma once

#include "LibPeer/Endpoint.h"
#include "LibWire/ClaimMessages.h"
#include "LibWire/LeaseMessages.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Services {

/// A control process without log and peers: always leads, accepts what the tests tell it.
class FakeControl
{
public:
    explicit FakeControl(const std::string &secret);

    std::string address() const { return endpoint_->listenAddress(); }

    /// Puts a document into force and gives each server to the entry process named in `owners`.
    void accept(const std::string &document, const std::map<std::string, std::string> &owners);
    /// Proposes a document as the next revision.
    void propose(const std::string &document);
    /// Makes renewals fail from now on.
    void refuseRenewals();

    /// Waits until the condition holds for the newest renewal of an entry process.
    void waitForRenewal(const std::string &entryId,
                        const std::function<bool(const Wire::RenewLeaseRequest &)> &condition);
    Wire::Directory directory();

private:
    void handle(Wire::Method method, const Base::Bytes &payload,
                const std::shared_ptr<Peer::Responder> &responder);
    void renew(const Wire::RenewLeaseRequest &request, const std::shared_ptr<Peer::Responder> &responder);
    void registerEntry(const Wire::RenewLeaseRequest &request);
    Wire::ClaimRequestReply claim(const Wire::ClaimRequestMessage &request);
    Wire::RecordOutcomeReply record(const Wire::RecordOutcomeRequest &request);

    std::mutex mutex_;
    std::condition_variable renewed_;
    Wire::Directory directory_;
    std::map<std::string, std::string> documents_; ///< By hash.
    std::map<std::string, Wire::RenewLeaseRequest> renewals_; ///< Newest by entry id.
    std::map<std::string, Wire::ClaimRequestReply> claims_;
    bool refuses_ = false;
    std::unique_ptr<Peer::Endpoint> endpoint_;
};

} // namespace Services
