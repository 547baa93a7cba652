#include "Services/FakeControl.h"

#include "LibConfiguration/DocumentParser.h"

#include <algorithm>

namespace Services {

FakeControl::FakeControl(const std::string &secret)
{
    auto endpoint = Peer::Endpoint::create(
        {"127.0.0.1:0", secret,
         [this](Wire::Method method, const Base::Bytes &payload,
                const std::shared_ptr<Peer::Responder> &responder) { handle(method, payload, responder); }});
    endpoint_ = std::move(*endpoint);
}

void FakeControl::accept(const std::string &document, const std::map<std::string, std::string> &owners)
{
    const std::lock_guard lock(mutex_);
    const auto hash = Configuration::documentHash(document);
    documents_[hash] = document;
    directory_.accepted = {std::max(directory_.accepted.revision, directory_.proposed.revision) + 1, hash};
    directory_.proposed = {};
    directory_.shares.clear();
    ++directory_.version;
    for (const auto &[serverId, entryId] : owners)
        directory_.shares.push_back({serverId, entryId, directory_.version, false});
}

void FakeControl::propose(const std::string &document)
{
    const std::lock_guard lock(mutex_);
    const auto hash = Configuration::documentHash(document);
    documents_[hash] = document;
    directory_.proposed = {std::max(directory_.accepted.revision, directory_.proposed.revision) + 1, hash};
    ++directory_.version;
}

void FakeControl::refuseRenewals()
{
    const std::lock_guard lock(mutex_);
    refuses_ = true;
}

void FakeControl::waitForRenewal(const std::string &entryId,
                                 const std::function<bool(const Wire::RenewLeaseRequest &)> &condition)
{
    std::unique_lock lock(mutex_);
    renewed_.wait(lock, [&] { return renewals_.contains(entryId) && condition(renewals_[entryId]); });
}

Wire::Directory FakeControl::directory()
{
    const std::lock_guard lock(mutex_);
    return directory_;
}

void FakeControl::handle(Wire::Method method, const Base::Bytes &payload,
                         const std::shared_ptr<Peer::Responder> &responder)
{
    const std::lock_guard lock(mutex_);
    if (method == Wire::Method::RenewLease)
        renew(*Wire::decode<Wire::RenewLeaseRequest>(payload), responder);
    else if (method == Wire::Method::FetchDocument)
        responder->reply(Wire::encode(Wire::FetchDocumentReply {
            documents_[Wire::decode<Wire::FetchDocumentRequest>(payload)->documentHash]}));
    else if (method == Wire::Method::ClaimRequest)
        responder->reply(Wire::encode(claim(*Wire::decode<Wire::ClaimRequestMessage>(payload))));
    else if (method == Wire::Method::RecordOutcome)
        responder->reply(Wire::encode(record(*Wire::decode<Wire::RecordOutcomeRequest>(payload))));
}

void FakeControl::renew(const Wire::RenewLeaseRequest &request,
                        const std::shared_ptr<Peer::Responder> &responder)
{
    if (refuses_) {
        responder->fail({Base::ErrorKind::NotLeader, {}});
        return;
    }
    registerEntry(request);
    Wire::RenewLeaseReply reply;
    reply.term = 1;
    reply.leaseMicroseconds = 3'000'000;
    reply.directoryChanged = request.directoryVersion != directory_.version;
    if (reply.directoryChanged)
        reply.directory = directory_;
    responder->reply(Wire::encode(reply));
    renewals_[request.entry.entryId] = request;
    renewed_.notify_all();
}

void FakeControl::registerEntry(const Wire::RenewLeaseRequest &request)
{
    const auto hasId = [&](const Wire::EntryRecord &entry) { return entry.entryId == request.entry.entryId; };
    auto &entries = directory_.entries;
    const auto found = std::find_if(entries.begin(), entries.end(), hasId);
    if (found == entries.end() || !(*found == request.entry)) {
        std::erase_if(entries, hasId);
        entries.push_back(request.entry);
        ++directory_.version;
    }
    for (const auto &released : request.releasedShares) {
        for (auto &share : directory_.shares) {
            if (share.serverId == released.serverId && share.epoch == released.epoch
                && !share.entryId.empty()) {
                share.entryId.clear();
                ++directory_.version;
            }
        }
    }
}

Wire::ClaimRequestReply FakeControl::claim(const Wire::ClaimRequestMessage &request)
{
    const auto found = claims_.find(request.requestId);
    if (found != claims_.end())
        return found->second;
    claims_[request.requestId].state = Wire::ClaimState::InProgress;
    return {Wire::ClaimState::Granted, {}, claims_.size()};
}

Wire::RecordOutcomeReply FakeControl::record(const Wire::RecordOutcomeRequest &request)
{
    if (request.notRun)
        claims_.erase(request.requestId);
    else
        claims_[request.requestId] = {Wire::ClaimState::Recorded, request.outcome, 0};
    return {true};
}

} // namespace Services
