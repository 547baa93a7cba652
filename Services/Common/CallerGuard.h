#pragma once

#include "LibBase/EventLog.h"
#include "LibEdge/CallerServer.h"
#include "LibMetrics/Registry.h"
#include "Services/Common/NodeSettings.h"

#include <array>
#include <cstdint>
#include <memory>

namespace Services {

/// Addresses of a process that take connections from outside the deployment.
enum class Door : std::uint8_t { Callers, Lookups, Readiness, Metrics, Operators };

/// Shares the memory and the descriptors of a process among its doors, and reports what they refuse.
/// Load pattern: callers that nobody controls take as many of both as they get.
class CallerGuard
{
public:
    CallerGuard(const NodeSettings &settings, Base::EventLog &events, Metrics::Registry &metrics);

    /// Options of a server; `usesBody` tells from a request's head whether its body will be needed.
    Edge::CallerServerOptions options(Edge::BodyFilter usesBody);
    std::size_t maxConnections(Door door) const;
    const std::shared_ptr<Edge::MemoryAccount> &memory() const { return memory_; }

    /// Writes at most one line a second for each cause.
    void tick(Base::Instant now);

private:
    struct Refusals
    {
        std::uint64_t unwritten = 0;
        Base::Instant nextLine;
    };
    static constexpr std::size_t Causes = 5;

    void refused(Edge::RefusalCause cause);

    std::uint32_t maxDescriptors_;
    Base::EventLog &events_;
    Metrics::Registry &metrics_;
    std::shared_ptr<Edge::MemoryAccount> memory_;
    std::array<Refusals, Causes> refusals_;
};

/// Serves `address` within the limits of `door`. Without `usesBody` no body is kept.
Base::Result<std::unique_ptr<Edge::CallerServer>> serveAt(Edge::Loop &loop, CallerGuard &guard, Door door,
                                                          const std::string &address,
                                                          Edge::CallerHandler handler,
                                                          Edge::BodyFilter usesBody = {});

} // namespace Services
