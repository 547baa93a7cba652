#include "Services/Entry/EntryService.h"

#include "Services/Entry/EntryProcess.h"

#include <csignal>

namespace Services {

Base::Result<void> runEntry(const EntrySettings &settings)
{
    // Blocked before any thread starts, so that only the wait below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    const auto process = EntryProcess::start(settings);
    if (!process)
        return tl::unexpected(process.error());
    int received = 0;
    sigwait(&signals, &received);
    (*process)->beginShutdown();
    (*process)->waitUntilStopped();
    return {};
}

} // namespace Services
