#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibHttp/CivetWebClient.h"
#include "LibHttp/HostAndPort.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

namespace Http {

/// One connection attempt on a thread of its own, because CivetWeb waits a fixed 10 s for a silent host.
class ConnectAttempt
{
public:
    /// Fails with BackendUnreachable after `timeout`; the attempt then ends unobserved and is closed.
    static Base::Result<ConnectionPointer> run(const HostAndPort &target, Base::Duration timeout);

private:
    void connect(const HostAndPort &target);
    Base::Result<ConnectionPointer> wait(Base::Duration timeout);

    std::mutex mutex_;
    std::condition_variable finished_;
    std::optional<Base::Result<ConnectionPointer>> result_;
};

} // namespace Http
