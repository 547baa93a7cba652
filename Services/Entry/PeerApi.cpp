#include "Services/Entry/PeerApi.h"

namespace Services {

void PeerApi::handle(Wire::Method method, const Base::Bytes &payload,
                     const std::shared_ptr<Peer::Responder> &responder)
{
    if (method == Wire::Method::ExecuteSubrequest)
        executeSubrequest(payload, responder);
    else if (method == Wire::Method::ObserveBackends)
        observeBackends(responder);
    else
        responder->fail({Base::ErrorKind::NotFound, "entry processes do not serve this method"});
}

void PeerApi::executeSubrequest(const Base::Bytes &payload, const std::shared_ptr<Peer::Responder> &responder)
{
    auto request = Wire::decode<Wire::ExecuteSubrequestRequest>(payload);
    if (!request) {
        responder->fail(request.error());
        return;
    }
    responder->onCancelled([this, attemptId = request->attemptId] {
        events_->post([this, attemptId] { loop_->cancelSubrequest(attemptId); });
    });
    events_->post(
        [this, request = std::move(*request), responder] { loop_->acceptSubrequest(request, responder); });
}

void PeerApi::observeBackends(const std::shared_ptr<Peer::Responder> &responder)
{
    events_->post([this, responder] { responder->reply(Wire::encode(loop_->observations())); });
}

} // namespace Services
