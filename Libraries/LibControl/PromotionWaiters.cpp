#include "LibControl/PromotionWaiters.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Control {

namespace {

/// Removes and returns the matching items, so that their handlers may modify the table.
template<typename Item, typename Predicate>
std::vector<Item> extractMatching(std::vector<Item> &items, Predicate matches)
{
    const auto firstTaken =
        std::stable_partition(items.begin(), items.end(), [&](const Item &item) { return !matches(item); });
    std::vector<Item> taken(std::make_move_iterator(firstTaken), std::make_move_iterator(items.end()));
    items.erase(firstTaken, items.end());
    return taken;
}

Base::Error unknownOutcome(std::string detail)
{
    return {Base::ErrorKind::OutcomeUnknown, std::move(detail)};
}

} // namespace

void PromotionWaiters::wait(const std::string &changeId, Base::Instant deadline, PromotionDone done)
{
    waiting_.push_back({changeId, deadline, std::move(done)});
}

void PromotionWaiters::completeWaiting(const PromotionResult &result)
{
    const auto taken =
        extractMatching(waiting_, [&](const Waiting &item) { return item.changeId == result.changeId; });
    for (const auto &item : taken)
        item.done(result);
}

void PromotionWaiters::expire(Base::Instant now)
{
    const auto isExpired = [now](const auto &item) { return item.deadline <= now; };
    for (const auto &item : extractMatching(waiting_, isExpired))
        item.done(tl::unexpected(unknownOutcome(
            "the promotion is still pending; retry with the same change id to get its result")));
    for (const auto &item : extractMatching(queued_, isExpired))
        item.done(Base::fail(Base::ErrorKind::ControlUnavailable, "another promotion is still pending"));
}

void PromotionWaiters::failAll(const Base::Error &queuedError)
{
    for (const auto &item : std::exchange(waiting_, {}))
        item.done(tl::unexpected(unknownOutcome("the leader changed while the promotion was pending")));
    for (const auto &item : std::exchange(queued_, {}))
        item.done(tl::unexpected(queuedError));
}

} // namespace Control
