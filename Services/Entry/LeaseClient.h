#pragma once

#include "LibWire/LeaseMessages.h"
#include "Services/Entry/LeaderClient.h"

#include <functional>

namespace Services {

/// Keeps the lease of this process alive. Used on the decision thread only.
class LeaseClient
{
public:
    struct Callbacks
    {
        /// Returns what the next renewal tells control.
        std::function<Wire::RenewLeaseRequest()> describe;
        /// Takes a granted lease, which counts from `sentAt`, the moment before the renewal was sent.
        std::function<void(Base::Instant sentAt, Wire::RenewLeaseReply reply)> granted;
    };

    LeaseClient(LeaderClient &control, EventQueue &events, const Base::Clock &clock, Callbacks callbacks);

    /// Renews now and from then on periodically.
    void start();

    /// Renews at once because something to report has changed.
    void renewNow();

    /// Ends the renewals.
    void stop() { stopped_ = true; }

    /// True while a renewal is on its way.
    bool isInFlight() const { return inFlight_; }

private:
    void renew();
    void finished(Base::Instant sentAt, const Base::Result<Base::Bytes> &result);
    void schedule(Base::Duration delay);

    LeaderClient &control_;
    EventQueue &events_;
    const Base::Clock &clock_;
    Callbacks callbacks_;
    std::uint64_t scheduled_ = 0; ///< Number of the newest timer; older ones are void.
    bool inFlight_ = false;
    bool again_ = false;
    bool stopped_ = false;
    bool wasFailing_ = false;
};

} // namespace Services
