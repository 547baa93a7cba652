#include "Services/Common/WatchDesk.h"

#include <utility>

namespace Services {

namespace {

/// A watching gateway gets an answer after this time even if nothing changed, as a sign of life.
constexpr Base::Duration WatchHold = Base::milliseconds(300);

/// A gateway whose confirmation is older than this must not wait for the next one. It exceeds the age that
/// confirmations reach between two answers.
constexpr std::uint32_t UrgentConfirmationAgeMs = 1000;
/// A newer confirmation than this is worth an answer at once; an older one would be asked for again at once.
constexpr std::uint32_t FreshConfirmationMs = 500;

bool bringsUrgentConfirmation(const Wire::WatchReply &reply, const Wire::WatchRequest &held)
{
    return held.confirmationAgeMs.value_or(0) > UrgentConfirmationAgeMs
           && reply.confirmedBeforeMs.value_or(UINT32_MAX) < FreshConfirmationMs
           && reply.configurationVersion <= held.configurationVersion;
}

bool hasNews(const Wire::WatchReply &reply, const Wire::WatchRequest &held)
{
    return !reply.configurationText.empty() || (reply.serverList && !reply.serverList->servers.empty())
           || reply.evacuationRevision > held.evacuationRevision
           || (reply.directory.digest != 0 && reply.directory.digest != held.directoryDigest)
           || bringsUrgentConfirmation(reply, held);
}

} // namespace

void WatchDesk::add(Base::Instant now, const Wire::WatchRequest &request, const ResponderPointer &responder)
{
    watchers_.push_back({request, responder, now, request.mayWait ? now + WatchHold : now});
    answer(now);
}

void WatchDesk::answer(Base::Instant now)
{
    std::vector<Watcher> later;
    for (auto &watcher : std::exchange(watchers_, {})) {
        const auto reply = makeReply_(now, watcher.request, watcher.arrivedAt);
        if (now >= watcher.heldUntil || hasNews(reply, watcher.request))
            watcher.responder->reply(Wire::encode(reply));
        else
            later.push_back(std::move(watcher));
    }
    watchers_ = std::move(later);
}

void WatchDesk::abandon()
{
    for (const auto &watcher : std::exchange(watchers_, {}))
        watcher.responder->fail({Base::ErrorKind::ShuttingDown, {}});
}

} // namespace Services
