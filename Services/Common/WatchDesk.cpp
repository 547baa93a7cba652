#include "Services/Common/WatchDesk.h"

#include <utility>

namespace Services {

namespace {

/// A watching gateway gets an answer after this time even if nothing changed, as a sign of life.
constexpr Base::Duration WatchHold = Base::milliseconds(300);

bool hasNews(const Wire::WatchReply &reply, const Wire::WatchRequest &held)
{
    return !reply.configurationText.empty() || (reply.serverList && !reply.serverList->servers.empty())
           || reply.evacuationRevision > held.evacuationRevision
           || (reply.directory.digest != 0 && reply.directory.digest != held.directoryDigest);
}

} // namespace

void WatchDesk::add(Base::Instant now, const Wire::WatchRequest &request, const ResponderPointer &responder)
{
    watchers_.push_back({request, responder, request.mayWait ? now + WatchHold : now});
    answer(now);
}

void WatchDesk::answer(Base::Instant now)
{
    std::vector<Watcher> later;
    for (auto &watcher : std::exchange(watchers_, {})) {
        const auto reply = makeReply_(now, watcher.request);
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
