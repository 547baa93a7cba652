#include "Services/Entry/LeaseClient.h"

#include "LibBase/Log.h"

namespace Services {

namespace {

constexpr Base::Log Log("entry");

constexpr Base::Duration RenewalInterval = Base::milliseconds(500);

/// Pause after a failed renewal; short, because the next control process may lead already.
constexpr Base::Duration FailurePause = Base::milliseconds(50);

/// A silent leader must leave time for renewals with two others within one lease.
constexpr Base::Duration RenewalTimeout = Base::milliseconds(800);

} // namespace

LeaseClient::LeaseClient(LeaderClient &control, EventQueue &events, const Base::Clock &clock,
                         Callbacks callbacks)
    : control_(control)
    , events_(events)
    , clock_(clock)
    , callbacks_(std::move(callbacks))
{
}

void LeaseClient::start()
{
    renew();
}

void LeaseClient::renewNow()
{
    if (inFlight_)
        again_ = true;
    else
        renew();
}

void LeaseClient::renew()
{
    if (stopped_ || inFlight_)
        return;
    inFlight_ = true;
    again_ = false;
    auto payload = Wire::encode(callbacks_.describe());
    const auto sentAt = clock_.now();
    control_.callOnce(Wire::Method::RenewLease, std::move(payload), RenewalTimeout,
                      [this, sentAt](const Base::Result<Base::Bytes> &result) { finished(sentAt, result); });
}

void LeaseClient::finished(Base::Instant sentAt, const Base::Result<Base::Bytes> &result)
{
    inFlight_ = false;
    auto reply = result ? Wire::decode<Wire::RenewLeaseReply>(*result)
                        : Base::Result<Wire::RenewLeaseReply>(tl::unexpect, result.error());
    if (!reply) {
        if (!wasFailing_)
            Log.warning("Lease renewal failed.",
                        {{"error", Base::errorName(reply.error().kind)}, {"reason", reply.error().detail}});
        wasFailing_ = true;
        schedule(FailurePause);
        return;
    }
    wasFailing_ = false;
    callbacks_.granted(sentAt, std::move(*reply));
    if (again_)
        renew();
    else
        schedule(RenewalInterval - (clock_.now() - sentAt));
}

void LeaseClient::schedule(Base::Duration delay)
{
    const auto number = ++scheduled_;
    events_.postAt(clock_.now() + delay, [this, number] {
        if (number == scheduled_)
            renew();
    });
}

} // namespace Services
