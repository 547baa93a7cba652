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

/// Operators who wait for the end of a promotion, or for their turn behind another one.
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

    /// Takes out all requests that waited for their turn.
    std::vector<Queued> takeQueued() { return std::exchange(queued_, {}); }

    /// Answers everyone who waits for `result.changeId`.
    void answer(const PromotionResult &result);

    /// Answers those whose deadline has passed.
    void expire(Base::Instant now);

    /// Answers everyone: waiting operators with OutcomeUnknown, queued ones with `queuedError`.
    void abandon(const Base::Error &queuedError);

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
