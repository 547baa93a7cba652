#pragma once

#include "LibBackend/OwnerCore.h"
#include "LibPeer/Endpoint.h"
#include "LibQuery/QueryCore.h"
#include "Services/Entry/BackendConnector.h"
#include "Services/Entry/CallerTable.h"
#include "Services/Entry/ConfigurationState.h"
#include "Services/Entry/DirectoryView.h"
#include "Services/Entry/EntryMetrics.h"
#include "Services/Entry/EntrySettings.h"
#include "Services/Entry/LeaseClient.h"
#include "Services/Entry/Observer.h"
#include "Services/Entry/SenderTable.h"
#include "Services/Entry/SubrequestClient.h"
#include "Services/Entry/VmList.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Services {

/// What an EntryLoop shares with the threads around it.
struct EntryContext
{
    std::shared_ptr<EventQueue> events;
    std::shared_ptr<LeaseGuard> lease;
    std::shared_ptr<Metrics::Registry> metrics;
    std::shared_ptr<DirectoryView> directory;
};

/// The decision thread of an entry process: feeds events to the coordinator and the owner and carries out
/// their actions. All functions but the constructor run on the decision thread.
class EntryLoop final : public BackendListener
{
public:
    /// `self` is the registration of this process; its state is managed here.
    EntryLoop(const EntrySettings &settings, Wire::EntryRecord self, EntryContext context,
              Peer::Endpoint &endpoint);

    /// Runs until a shutdown is complete.
    void run();

    /// Takes a query of a caller; `done` runs when it ends.
    void acceptQuery(Query::CallerQuery query, Base::Instant arrivedAt, QueryDone done);

    /// Takes a sub-request of another entry process.
    void acceptSubrequest(const Wire::ExecuteSubrequestRequest &request,
                          std::shared_ptr<Peer::Responder> responder);
    void cancelSubrequest(const std::string &attemptId);
    Wire::ObserveBackendsReply observations() const { return {owner_.observations()}; }

    /// JSON body of GET /v1/status.
    std::string describeStatus() const;

    /// Leaves the address list, serves on for the time that callers cache it, and then finishes.
    void beginShutdown();

private:
    enum class Phase { Running, Leaving, Finishing, Stopped };

    void connectionOpened(const std::string &serverId, Backend::ConnectionId connection) override;
    void connectionClosed(const std::string &serverId, Backend::ConnectionId connection) override;
    void replied(const std::string &attemptId, const Backend::BackendReply &reply, bool usable) override;
    void statusPolled(const std::string &serverId,
                      const std::optional<Backend::BackendStatus> &status) override;

    Wire::RenewLeaseRequest describeRenewal() const;
    void leaseGranted(Base::Instant sentAt, Wire::RenewLeaseReply reply);
    void extendLease();
    void configurationChanged();
    void configureOwner();
    void publishDirectory();

    void tickPeriodically();
    void runCores();
    void drainActions();
    Base::Instant nextWake() const;

    void perform(const Query::SendSubrequest &action);
    void perform(const Query::CancelSubrequest &action);
    void perform(const Query::SendClaim &action);
    void perform(const Query::SendRecordOutcome &action);
    void perform(Query::CompleteQuery action);
    void perform(const Backend::OpenConnection &action) { connector_.open(action); }
    void perform(const Backend::CloseConnection &action) { connector_.close(action); }
    void perform(const Backend::Dispatch &action) { connector_.dispatch(action); }
    void perform(const Backend::CancelAtServer &action) { connector_.cancel(action); }
    void perform(const Backend::PollStatus &action) { connector_.poll(action); }
    void perform(const Backend::ReplyToSender &action);

    void subrequestEnded(const std::string &attemptId,
                         const Base::Result<Wire::ExecuteSubrequestReply> &reply);
    void observe(const std::string &ownerEntryId, const std::vector<Wire::ServerObservation> &servers);
    void observeOwnServers();
    void stopServing();
    void finishWhenIdle(Base::Instant deadline);
    bool ownsShares() const;
    void sendFinished();
    Base::Instant now() const { return clock_.now(); }

    EntryContext context_;
    Base::SystemClock clock_;
    Wire::EntryRecord self_;
    Query::QueryCore query_;
    Backend::OwnerCore owner_;
    BackendConnector connector_;
    LeaderClient control_;
    DocumentCache documents_;
    ConfigurationState configuration_;
    LeaseClient leaseClient_;
    SubrequestClient subrequests_;
    Observer observer_;
    VmList vmList_;
    Peer::Endpoint &endpoint_;
    EntryMetrics metrics_;
    SenderTable senders_;
    CallerTable callers_;
    std::optional<Base::Instant> grantedUntil_; ///< Lease held back until the accepted revision is in force.
    Phase phase_ = Phase::Running;
};

} // namespace Services
