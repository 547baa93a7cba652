#include "Services/Common/CallerGuard.h"

#include "Services/Common/RequestMemory.h"

#include <algorithm>
#include <utility>

namespace Services {

namespace {

/// Memory for callers where the process has no limit.
constexpr std::size_t UnlimitedMemory = std::size_t {256} * 1024 * 1024;
constexpr Base::Duration LineInterval = Base::seconds(1);

/// What a door may take of the descriptors, in parts of 32; about a fifth is left for backend servers,
/// registries, other gateways and files.
struct Share
{
    std::size_t parts;
    std::size_t most;
};
constexpr std::size_t AllParts = 32;
constexpr std::array<Share, 5> Shares {{{20, 2000}, {4, 1000}, {1, 100}, {1, 100}, {4, 1000}}};

} // namespace

CallerGuard::CallerGuard(const NodeSettings &settings, Base::EventLog &events, Metrics::Registry &metrics)
    : maxDescriptors_(settings.maxDescriptors)
    , events_(events)
    , metrics_(metrics)
{
    auto bytes = UnlimitedMemory;
    if (settings.memoryMegabytes > 0.0) {
        bytes = requestMemory(static_cast<std::size_t>(settings.memoryMegabytes));
        returnFreedMemory();
    }
    memory_ = std::make_shared<Edge::MemoryAccount>(bytes);
}

Edge::CallerServerOptions CallerGuard::options(Edge::BodyFilter usesBody)
{
    return {memory_, std::move(usesBody), [this](Edge::RefusalCause cause) { refused(cause); }};
}

std::size_t CallerGuard::maxConnections(Door door) const
{
    const auto &share = Shares.at(static_cast<std::size_t>(door));
    if (maxDescriptors_ == 0)
        return share.most;
    return std::clamp<std::size_t>(maxDescriptors_ * share.parts / AllParts, 1, share.most);
}

Base::Result<std::unique_ptr<Edge::CallerServer>> serveAt(Edge::Loop &loop, CallerGuard &guard, Door door,
                                                          const std::string &address,
                                                          Edge::CallerHandler handler,
                                                          Edge::BodyFilter usesBody)
{
    if (!usesBody)
        usesBody = [](const Edge::RequestMessage &) { return false; };
    auto server =
        Edge::CallerServer::create(loop, address, std::move(handler), guard.options(std::move(usesBody)));
    if (!server)
        return server;
    Edge::EdgeLimits limits;
    limits.maxConnections = guard.maxConnections(door);
    (*server)->setLimits(limits);
    return server;
}

void CallerGuard::refused(Edge::RefusalCause cause)
{
    metrics_
        .counter("daisyroute_callers_refused_total", "Connections of callers refused or ended, by cause.",
                 {{"cause", std::string(Edge::refusalCauseName(cause))}})
        .add();
    ++refusals_.at(static_cast<std::size_t>(cause)).unwritten;
}

void CallerGuard::tick(Base::Instant now)
{
    for (std::size_t cause = 0; cause < Causes; ++cause) {
        auto &refusals = refusals_.at(cause);
        if (refusals.unwritten == 0 || now < refusals.nextLine)
            continue;
        refusals.nextLine = now + LineInterval;
        events_.write(now, Base::EventLog::Importance::Notable, "callers_refused",
                      {{"cause", Edge::refusalCauseName(static_cast<Edge::RefusalCause>(cause))},
                       {"count", std::exchange(refusals.unwritten, 0)},
                       {"memory_held", memory_->heldBytes()},
                       {"memory_limit", memory_->limitBytes()}});
    }
    metrics_.gauge("daisyroute_caller_memory_bytes", "Held for callers and responses.")
        .set(static_cast<double>(memory_->heldBytes()));
}

} // namespace Services
