#include "Soak/SoakRun.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string_view>
#include <unistd.h>

namespace Soak {

namespace {

const std::vector<std::string> Shards {"shard-0", "shard-1", "shard-2", "shard-3"};
constexpr const char *PlainService = "plain";
constexpr std::size_t MinimumParts = 3;
constexpr std::uint64_t Attempts = 2;
/// Of the callers of SoakRun::Caller; the last key belongs to nobody.
constexpr std::array<std::string_view, 3> Tenants {"limited", "unlimited", ""};
constexpr std::array<std::string_view, 3> Keys {"key-of-limited", "key-of-unlimited", "key-of-nobody"};
/// Of the limited tenant. It sends more than that, so that a broken bound shows.
constexpr int LimitPerSecond = 10;
constexpr int LimitBurst = 6;
/// Bound of the pages for a read after an acknowledgement.
constexpr Base::Duration ReadBound = Base::seconds(3);
/// What callers of this run allow; also the timeout of its routes.
constexpr std::int64_t DeadlineMs = 1500;
/// Callers wait a little longer than their deadline, so that late answers are checked as well.
constexpr Base::Duration CallerPatience = Base::milliseconds(DeadlineMs + 500);
/// Operators of the platform turn to another registry after this time.
constexpr Base::Duration OperatorPatience = Base::seconds(1);
constexpr Base::Duration ReadinessPatience = Base::seconds(1);
/// All processes must work again this long after the last fault.
constexpr Base::Duration RecoveryBound = Base::seconds(12);

std::string networkOf(std::uint64_t seed)
{
    const auto process = static_cast<std::uint64_t>(::getpid()) * 31 + seed;
    return fmt::format("127.{}.{}.", 64 + process / 251 % 128, 1 + process % 251);
}

} // namespace

SoakRun::SoakRun(std::uint64_t seed, const std::string &directory)
    : seed_(seed)
    , network_(networkOf(seed))
    , random_(seed)
    , platform_(loop_, network_, seed)
    , cluster_(network_, directory, platform_.listAddress())
{
    for (const auto &shard : Shards) {
        platform_.addServer(shard);
        platform_.addServer(shard);
    }
    for (int count = 0; count < 3; ++count)
        platform_.addServer(PlainService);
    auto addresses = cluster_.proxiedAddresses();
    for (auto &pair : platform_.proxiedAddresses())
        addresses.push_back(std::move(pair));
    for (const auto &[listen, target] : addresses)
        proxies_.push_back(std::make_unique<FaultProxy>(loop_, listen, target));
}

std::vector<std::string> SoakRun::run(Base::Duration duration)
{
    cluster_.startAll();
    submitNextVersion();
    waitUntilReady();
    const auto end = clock_.now() + duration;
    while (clock_.now() < end) {
        for (std::uint64_t count = random_.below(4); count > 0; --count)
            sendRequest();
        if (random_.below(20) == 0)
            submitNextVersion();
        if (random_.below(15) == 0)
            readVersion();
        if (random_.below(12) == 0)
            injectFault();
        runFor(Base::milliseconds(20));
    }
    repair();
    checkAtEnd();
    return broken_;
}

std::string SoakRun::summary() const
{
    return fmt::format(
        "seed={} served={} refused={} failed={} faults={} versions={} acknowledged={} broken={}", seed_,
        served_, refused_, failed_, faults_, nextVersion_ - 1, acknowledged_.size(), broken_.size());
}

void SoakRun::report(const std::string &what)
{
    broken_.push_back(fmt::format("seed {}: {}", seed_, what));
}

void SoakRun::runFor(Base::Duration duration)
{
    const auto end = clock_.now() + duration;
    do {
        loop_.runFor(Base::milliseconds(2));
        calls_.sweep();
        const auto now = clock_.now();
        std::vector<std::function<void()>> due;
        std::erase_if(scheduled_, [&](auto &item) {
            if (item.first > now)
                return false;
            due.push_back(std::move(item.second));
            return true;
        });
        for (const auto &task : due)
            task();
    } while (clock_.now() < end);
}

std::string SoakRun::configuration(std::uint64_t version) const
{
    nlohmann::json services = nlohmann::json::array();
    for (const auto &shard : Shards)
        services.push_back({{"name", shard}, {"maxConnections", 40}});
    services.push_back({{"name", PlainService}, {"maxConnections", 40}});
    const auto route = [](const char *prefix, const char *kind) {
        return nlohmann::json {{"name", prefix},      {"host", "soak.example"},  {"pathPrefix", prefix},
                               {"routeType", kind},   {"timeoutMs", DeadlineMs}, {"targetLatencyMs", 200},
                               {"attempts", Attempts}};
    };
    const auto tenant = [](std::size_t index, int rate, int burst) {
        return nlohmann::json {{"name", Tenants[index]},
                               {"apiKeys", {Keys[index]}},
                               {"priority", 1},
                               {"ratePerS", rate},
                               {"burst", burst}};
    };
    auto gather = route("/g/", "safe");
    gather["gather"] = Shards;
    gather["topK"] = 2;
    gather["minCoverage"] = 0.75;
    auto safe = route("/s/", "safe");
    safe["service"] = PlainService;
    auto once = route("/o/", "unsafe");
    once["service"] = PlainService;
    return nlohmann::json({{"version", version},
                           {"routes", {gather, safe, once}},
                           {"services", services},
                           {"tenants", {tenant(0, LimitPerSecond, LimitBurst), tenant(1, 0, 0)}}})
        .dump();
}

void SoakRun::waitUntilReady()
{
    const auto end = clock_.now() + RecoveryBound;
    bool ready = false;
    while (!ready && clock_.now() < end) {
        const std::string request =
            fmt::format("GET /s/ready HTTP/1.1\r\nHost: soak.example\r\nX-Daisyroute-Request-Id: ready\r\n"
                        "X-Api-Key: {}\r\n\r\n",
                        Keys[static_cast<std::size_t>(Caller::Unlimited)]);
        calls_.start(cluster_.callerAddress(0), request, ReadinessPatience,
                     [&ready](const Edge::ResponseMessage *response) {
                         ready = ready || (response != nullptr && response->status == 200);
                     });
        runFor(Base::milliseconds(150));
    }
    runFor(ReadinessPatience + Base::milliseconds(100)); // Until no call refers to `ready` any more.
    if (!ready)
        report("the system was not ready in time");
}

void SoakRun::submitNextVersion()
{
    sendVersion(nextVersion_++, 0);
}

/// As an operator does: the same change again, to another registry, until the answer is clear.
void SoakRun::sendVersion(std::uint64_t version, int tries)
{
    constexpr int MaxTries = 60;
    const auto body = configuration(version);
    const auto request = fmt::format(
        "PUT /v1/config HTTP/1.1\r\nHost: registry\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
    const auto registry = static_cast<int>(random_.below(Cluster::Registries));
    calls_.start(cluster_.operatorAddress(registry), request, OperatorPatience,
                 [this, version, tries](const Edge::ResponseMessage *response) {
                     if (response != nullptr && response->status == 200)
                         acknowledged_.push_back({version, clock_.now()});
                     else if (response != nullptr && response->status / 100 == 4)
                         report(fmt::format("version {} was refused with {}", version, response->status));
                     else if (tries < MaxTries)
                         scheduled_.emplace_back(clock_.now() + Base::milliseconds(200),
                                                 [this, version, tries] { sendVersion(version, tries + 1); });
                 });
}

void SoakRun::readVersion()
{
    const auto sentAt = clock_.now();
    const auto registry = static_cast<int>(random_.below(Cluster::Registries));
    calls_.start(cluster_.operatorAddress(registry), "GET /v1/config HTTP/1.1\r\nHost: registry\r\n\r\n",
                 OperatorPatience, [this, sentAt](const Edge::ResponseMessage *response) {
                     if (response == nullptr || response->status != 200)
                         return;
                     const auto document = nlohmann::json::parse(response->body, nullptr, false);
                     if (document.is_discarded())
                         return report("a read returned no whole configuration");
                     const auto version = document.value("version", std::uint64_t {0});
                     finalVersion_ = std::max(finalVersion_, version);
                     for (const auto &change : acknowledged_) {
                         if (change.version > version && sentAt - change.acknowledgedAt > ReadBound)
                             return report(fmt::format("read version {} although {} was acknowledged",
                                                       version, change.version));
                     }
                 });
}

void SoakRun::sendRequest()
{
    static constexpr const char *Paths[] = {"/g/", "/s/", "/o/"};
    Request sent;
    sent.kind = static_cast<Kind>(random_.below(3));
    const auto draw = random_.below(20);
    sent.caller = draw == 0 ? Caller::Unknown : draw < 10 ? Caller::Limited : Caller::Unlimited;
    sent.sentAt = clock_.now();
    const auto requestId = fmt::format("r{}-{}", seed_, nextRequest_++);
    requests_[requestId] = sent;
    const auto request =
        fmt::format("GET {}{} HTTP/1.1\r\nHost: soak.example\r\nX-Daisyroute-Request-Id: {}\r\n"
                    "X-Daisyroute-Deadline-Ms: {}\r\nX-Api-Key: {}\r\nX-Daisyroute-Tenant: forged\r\n\r\n",
                    Paths[static_cast<int>(sent.kind)], requestId, requestId, DeadlineMs,
                    Keys[static_cast<std::size_t>(sent.caller)]);
    const auto gateway = static_cast<int>(random_.below(Cluster::Gateways));
    calls_.start(cluster_.callerAddress(gateway), request, CallerPatience,
                 [this, sent, requestId](const Edge::ResponseMessage *response) {
                     if (response == nullptr)
                         ++failed_;
                     else
                         checkAnswer(sent, requestId, *response);
                 });
}

void SoakRun::checkAnswer(const Request &sent, const std::string &requestId,
                          const Edge::ResponseMessage &response)
{
    if (response.status == 503 || response.status == 429) {
        ++refused_;
        ++refusedOnce_[requestId];
        return;
    }
    if (response.status == 401 && sent.caller == Caller::Unknown) {
        ++refused_;
        ++refusedOnce_[requestId];
        return;
    }
    if (response.status != 200) {
        ++failed_;
        if (response.status / 100 == 4)
            report(fmt::format("request {} was answered {}", requestId, response.status));
        return;
    }
    ++served_;
    if (response.header("X-Daisyroute-Request-Id") != requestId)
        report(fmt::format("request {} got the answer to another one", requestId));
    if (sent.kind == Kind::Gather)
        return checkGather(requestId, response);
    if (response.body != StandInPlatform::bodyOf(PlainService, requestId)
        || response.header("X-Daisyroute-Server-Stamp") != StandInPlatform::proofOf(PlainService, requestId))
        report(fmt::format("request {} got a body that is not the server's", requestId));
}

void SoakRun::checkGather(const std::string &requestId, const Edge::ResponseMessage &response)
{
    const std::string proofs(response.header("X-Daisyroute-Part-Stamps"));
    const auto missing = std::stoul("0" + std::string(response.header("X-Daisyroute-Missing-Parts")));
    std::vector<std::string> records;
    for (const auto &shard : Shards) {
        if (proofs.find(StandInPlatform::proofOf(shard, requestId)) != std::string::npos)
            records.push_back(StandInPlatform::bodyOf(shard, requestId));
    }
    const auto named = static_cast<std::size_t>(std::count(proofs.begin(), proofs.end(), ',')) + 1;
    std::sort(records.rbegin(), records.rend());
    std::string expected;
    for (std::size_t index = 0; index < std::min<std::size_t>(2, records.size()); ++index)
        expected += records[index];
    if (records.size() != named || records.size() + missing != Shards.size() || records.size() < MinimumParts
        || response.body != expected)
        report(fmt::format("gather {} states parts that it does not hold: {}", requestId, proofs));
}

void SoakRun::injectFault()
{
    ++faults_;
    const auto length = Base::milliseconds(static_cast<std::int64_t>(100 + random_.below(2000)));
    switch (random_.below(7)) {
    case 0:
    case 1:
        return injectProcessFault(length);
    case 2:
    case 3:
        return injectServerFault(length);
    case 4:
        return injectDiskFault(length);
    default:
        return injectNetworkFault(length);
    }
}

void SoakRun::restartAfter(int vm, Base::Duration pause)
{
    scheduled_.emplace_back(clock_.now() + pause, [this, vm] {
        if (!cluster_.isRunning(vm))
            cluster_.start(vm);
    });
}

void SoakRun::injectDiskFault(Base::Duration length)
{
    const auto vm = static_cast<int>(random_.below(Cluster::Registries));
    if (random_.below(2) == 0) {
        cluster_.killAndTearLog(vm, 1 + random_.below(200));
        return restartAfter(vm, length);
    }
    cluster_.setDiskFull(vm, true);
    scheduled_.emplace_back(clock_.now() + length, [this, vm] { cluster_.setDiskFull(vm, false); });
}

void SoakRun::injectProcessFault(Base::Duration length)
{
    const auto vm = static_cast<int>(random_.below(static_cast<std::uint64_t>(cluster_.count())));
    switch (random_.below(4)) {
    case 0:
        cluster_.signal(vm, SIGKILL);
        return restartAfter(vm, length);
    case 1:
        cluster_.signal(vm, SIGTERM);
        return restartAfter(vm, Base::seconds(4));
    case 2:
        cluster_.signal(vm, SIGSTOP);
        scheduled_.emplace_back(clock_.now() + length, [this, vm] { cluster_.signal(vm, SIGCONT); });
        return;
    default:
        return cluster_.signal(vm, SIGHUP);
    }
}

void SoakRun::injectServerFault(Base::Duration length)
{
    static constexpr bool ServerFaults::*Kinds[] = {&ServerFaults::paused, &ServerFaults::sheds,
                                                    &ServerFaults::fails, &ServerFaults::loses,
                                                    &ServerFaults::foreign};
    ServerFaults faults;
    faults.*Kinds[random_.below(std::size(Kinds))] = true;
    platform_.setFaults(static_cast<std::size_t>(random_.below(platform_.serverCount())), faults);
    scheduled_.emplace_back(clock_.now() + length, [this] { platform_.clearFaults(); });
}

void SoakRun::injectNetworkFault(Base::Duration length)
{
    auto &proxy = *proxies_[random_.below(proxies_.size())];
    LinkFaults faults;
    switch (random_.below(6)) {
    case 0:
        return proxy.resetConnections();
    case 1:
        return proxy.silenceConnections();
    case 2:
        faults.delay = Base::milliseconds(static_cast<std::int64_t>(5 + random_.below(200)));
        break;
    case 3:
        faults.cutToTarget = true;
        break;
    case 4:
        faults.cutFromTarget = true;
        break;
    default:
        faults.cutToTarget = faults.cutFromTarget = true;
        break;
    }
    proxy.setFaults(faults);
    scheduled_.emplace_back(clock_.now() + length, [&proxy] { proxy.setFaults({}); });
}

/// Ends all faults; now and then a registry has lost its disk by then.
void SoakRun::repair()
{
    platform_.clearFaults();
    for (const auto &proxy : proxies_)
        proxy->setFaults({});
    if (random_.below(2) == 0)
        cluster_.killAndWipe(static_cast<int>(random_.below(Cluster::Registries)));
    runFor(Base::seconds(4));
    for (int vm = 0; vm < cluster_.count(); ++vm) {
        cluster_.setDiskFull(vm, false);
        if (cluster_.isRunning(vm))
            cluster_.signal(vm, SIGCONT);
        else
            cluster_.start(vm);
    }
    waitUntilReady();
}

void SoakRun::checkAtEnd()
{
    const auto end = clock_.now() + RecoveryBound;
    std::uint64_t newest = 0;
    for (const auto &change : acknowledged_)
        newest = std::max(newest, change.version);
    while (finalVersion_ < newest && clock_.now() < end) {
        readVersion();
        runFor(Base::milliseconds(200));
    }
    if (finalVersion_ < newest)
        report(fmt::format("acknowledged version {} is gone; read {}", newest, finalVersion_));
    const auto servedBefore = served_;
    for (int count = 0; count < 20; ++count) {
        sendRequest();
        runFor(Base::milliseconds(20));
    }
    runFor(Base::seconds(2));
    if (served_ - servedBefore < 10)
        report(fmt::format("only {} of 20 requests were served after the recovery", served_ - servedBefore));
    for (const auto &[requestId, seen] : platform_.seen()) {
        const auto sent = requests_.find(requestId);
        if (sent == requests_.end())
            continue;
        checkTenant(sent->second, requestId, seen);
        const bool isOnce = sent->second.kind == Kind::Once;
        for (const auto &[service, servers] : seen.ranOn) {
            if (servers.size() > (isOnce ? 1 : Attempts))
                report(fmt::format("request {} ran on {} servers of {}", requestId, servers.size(), service));
        }
        if (isOnce && refusedOnce_.contains(requestId))
            report(fmt::format("request {} was refused as not run, and ran", requestId));
    }
    checkAllowance();
}

void SoakRun::checkTenant(const Request &sent, const std::string &requestId, const RequestSeen &seen)
{
    const std::string expected(Tenants[static_cast<std::size_t>(sent.caller)]);
    if (sent.caller == Caller::Unknown)
        report(fmt::format("request {} ran with a key that nobody holds", requestId));
    else if (seen.tenants != std::set<std::string> {expected})
        report(fmt::format("request {} of {} reached servers in the name of {}", requestId, expected,
                           fmt::join(seen.tenants, ", ")));
    if (seen.cameWithKey)
        report(fmt::format("a server got the key of request {}", requestId));
}

/// Counts what was both sent by the limited tenant and run within one window.
void SoakRun::checkAllowance()
{
    std::vector<std::pair<Base::Instant, Base::Instant>> runs; // Sent, ran.
    for (const auto &[requestId, seen] : platform_.seen()) {
        const auto sent = requests_.find(requestId);
        if (sent != requests_.end() && sent->second.caller == Caller::Limited)
            runs.emplace_back(sent->second.sentAt, seen.firstRanAt);
    }
    const double most =
        (LimitPerSecond * Cluster::AllowanceWindowS + LimitBurst) * (1.0 + Cluster::AllowanceOverage)
        + Cluster::AllowanceSlack;
    for (const auto &first : runs) {
        const auto begin = first.first;
        const auto end = begin + Base::seconds(Cluster::AllowanceWindowS);
        const auto count = std::count_if(runs.begin(), runs.end(), [begin, end](const auto &run) {
            return run.first >= begin && run.second <= end;
        });
        if (static_cast<double>(count) > most)
            return report(fmt::format("{} requests of the limited tenant ran in {} s, allowed {}", count,
                                      Cluster::AllowanceWindowS, most));
    }
}

} // namespace Soak
