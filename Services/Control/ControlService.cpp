#include "Services/Control/ControlService.h"

#include "Services/Control/ControlProcess.h"

#include <csignal>
#include <ctime>

namespace Services {

namespace {

/// Blocks the stop signals in this thread and all threads started later, so that the decision thread can ask
/// for them between two steps.
sigset_t blockStopSignals()
{
    sigset_t signals {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer that closes its connection must show as an error of the write.
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

bool isStopRequested(const sigset_t &signals)
{
    const timespec noWait {};
    return sigtimedwait(&signals, nullptr, &noWait) > 0;
}

} // namespace

Base::Result<void> runControl(const ControlSettings &settings)
{
    const auto signals = blockStopSignals();
    const auto shouldStop = [&signals] { return isStopRequested(signals); };
    const auto process = ControlProcess::create(settings, shouldStop);
    if (!process)
        return tl::unexpected(process.error());
    return (*process)->run(shouldStop);
}

} // namespace Services
