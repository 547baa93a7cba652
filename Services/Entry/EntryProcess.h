#pragma once

#include "LibHttp/Server.h"
#include "Services/Entry/CallerApi.h"
#include "Services/Entry/PeerApi.h"

#include <memory>
#include <string>
#include <thread>

namespace Services {

/// One running entry process: servers, decision thread and their wiring.
class EntryProcess
{
public:
    /// Opens the listeners and starts the threads.
    static Base::Result<std::unique_ptr<EntryProcess>> start(const EntrySettings &settings);

    /// Waits for the decision thread, so call beginShutdown() before.
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Starts a graceful stop; returns at once. Thread-safe.
    void beginShutdown();

    /// Waits until a graceful stop is complete.
    void waitUntilStopped();

    /// Addresses with the real ports.
    std::string httpAddress() const { return server_->listenAddress(); }
    std::string peerAddress() const { return endpoint_->listenAddress(); }

private:
    EntryProcess();
    Base::Result<void> open(const EntrySettings &settings);

    EntryContext context_;
    PeerApi peerApi_;
    CallerApi callerApi_;
    std::unique_ptr<Peer::Endpoint> endpoint_;
    std::unique_ptr<Http::Server> server_;
    std::unique_ptr<EntryLoop> loop_;
    std::thread decisionThread_;
};

} // namespace Services
