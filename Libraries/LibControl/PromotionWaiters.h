#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibControl/Commands.h"
#include "LibControl/PromotionResult.h"

#include <functional>
#include <string>
#include <vector>

namespace Control {

/// Gets the result of a promotion. OutcomeUnknown means that it may still be accepted.
using PromotionDone = std::function<void(Base::Result<PromotionResult>)>;

/// Operator requests that wait for the end of a promotion, or are queued behind another one.
class PromotionWaiters
{
public:
    struct Queued
    {
        ProposePromotion request;
        Base::Instant deadline;
        PromotionDone done;
    };

    /// Waits for the end of the pending promotion `changeId`.
    void wait(const std::string &changeId, Base::Instant deadline, PromotionDone done);

    /// Waits until no promotion is pending.
    void queue(Queued queued) { queued_.push_back(std::move(queued)); }

    /// Removes and returns all queued requests.
    std::vector<Queued> takeQueued() { return std::exchange(queued_, {}); }

    /// Completes all requests that wait for `result.changeId`.
    void completeWaiting(const PromotionResult &result);

    /// Fails requests whose deadline has passed.
    void expire(Base::Instant now);

    /// Fails all requests: waiting ones with OutcomeUnknown, queued ones with `queuedError`.
    void failAll(const Base::Error &queuedError);

private:
    struct Waiting
    {
        std::string changeId;
        Base::Instant deadline;
        PromotionDone done;
    };

    std::vector<Waiting> waiting_;
    std::vector<Queued> queued_;
};

} // namespace Control
