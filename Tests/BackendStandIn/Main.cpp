#include "BackendStandIn/AdminInterface.h"
#include "BackendStandIn/EventLoop.h"
#include "BackendStandIn/Fleet.h"
#include "LibBase/Log.h"
#include "LibConfiguration/DocumentParser.h"

#include <csignal>
#include <docopt/docopt.h>
#include <fstream>
#include <sstream>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/signalfd.h>

namespace {

constexpr auto Usage = R"(Stand-in for the backend servers of one or more documents.

Usage:
  backend-stand-in --document=FILE... --admin=ADDRESS [--seed=NUMBER] [--behaviour=JSON]

Options:
  --document=FILE    Serves every server address of this document; may be given several times.
  --admin=ADDRESS    ip:port of the admin interface.
  --seed=NUMBER      Seed of the service times [default: 1].
  --behaviour=JSON   Fields of Behaviour to change on all servers [default: {}].
)";

constexpr Base::Log Log {"stand-in"};

/// All servers share this process, so it needs descriptors for the connections of all of them.
void raiseDescriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void stopOnSignal(StandIn::EventLoop &loop)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    const int descriptor = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    loop.watch(descriptor, EPOLLIN, [&loop] { loop.stop(); });
}

Base::Result<void> addDocument(StandIn::Fleet &fleet, const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const auto outcome = Configuration::parseDocument(text.str());
    if (!outcome.document)
        return Base::fail(Base::ErrorKind::DocumentInvalid,
                          path + ": " + Configuration::describe(outcome.mistakes.front()));
    return fleet.add(*outcome.document);
}

Base::Result<void> run(std::map<std::string, docopt::value> &arguments)
{
    const auto changes = nlohmann::json::parse(arguments["--behaviour"].asString());
    const auto behaviour = StandIn::changed({}, changes);
    if (!behaviour)
        return tl::unexpected(behaviour.error());
    StandIn::EventLoop loop;
    stopOnSignal(loop);
    const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    StandIn::Fleet fleet(loop, seed, *behaviour);
    for (const auto &path : arguments["--document"].asStringList()) {
        if (auto added = addDocument(fleet, path); !added)
            return added;
    }
    StandIn::AdminInterface admin(loop, fleet, arguments["--admin"].asString());
    if (auto opened = admin.open(); !opened)
        return opened;
    Log.info("Serving.", {{"admin", arguments["--admin"].asString()}});
    loop.run();
    return {};
}

} // namespace

int main(int count, char **values)
{
    auto arguments = docopt::docopt(Usage, {values + 1, values + count});
    raiseDescriptorLimit();
    try {
        const auto result = run(arguments);
        if (result)
            return 0;
        Log.error("Cannot run.", {{"detail", result.error().detail}});
    } catch (const std::exception &error) {
        Log.error("Cannot run.", {{"detail", error.what()}});
    }
    return 1;
}
