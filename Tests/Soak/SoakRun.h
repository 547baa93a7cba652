#pragma once

#include "LibBase/Clock.h"
#include "LibBase/RandomSource.h"
#include "LibEdge/Loop.h"
#include "Soak/Cluster.h"
#include "Soak/FaultProxy.h"
#include "Soak/HttpCalls.h"
#include "Soak/StandInPlatform.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Soak {

/// One run: callers and an operator keep working while faults come in overlapping series; the promises are
/// checked from what callers, the operator and the backend servers see.
class SoakRun
{
public:
    SoakRun(std::uint64_t seed, const std::string &directory);

    /// Runs for `duration`, lets everything recover, and returns the broken promises.
    std::vector<std::string> run(Base::Duration duration);

    std::string summary() const;

private:
    enum class Kind : std::uint8_t { Gather, Safe, Once };

    /// Whose key a request names.
    enum class Caller : std::uint8_t { Limited, Unlimited, Unknown, Count };

    struct Request
    {
        Kind kind = Kind::Gather;
        Caller caller = Caller::Unlimited;
        Base::Instant sentAt;
    };

    struct Change
    {
        std::uint64_t version = 0;
        Base::Instant acknowledgedAt;
    };

    void waitUntilReady();
    void submitNextVersion();
    void sendVersion(std::uint64_t version, int tries);
    void readVersion();
    void sendRequest();
    void checkAnswer(const Request &sent, const std::string &requestId,
                     const Edge::ResponseMessage &response);
    void checkGather(const std::string &requestId, const Edge::ResponseMessage &response);
    void injectFault();
    void injectProcessFault(Base::Duration length);
    void injectDiskFault(Base::Duration length);
    void restartAfter(int vm, Base::Duration pause);
    void injectServerFault(Base::Duration length);
    void injectNetworkFault(Base::Duration length);
    void repair();
    void checkAtEnd();
    void checkTenant(const Request &sent, const std::string &requestId, const RequestSeen &seen);
    void checkAllowance();
    void report(const std::string &what);
    std::string configuration(std::uint64_t version) const;
    void runFor(Base::Duration duration);

    std::uint64_t seed_;
    std::string network_;
    Base::RandomSource random_;
    Base::SystemClock clock_;
    Edge::Loop loop_;
    HttpCalls calls_ {loop_};
    StandInPlatform platform_;
    Cluster cluster_;
    std::vector<std::unique_ptr<FaultProxy>> proxies_;
    std::vector<std::string> broken_;
    std::vector<Change> acknowledged_;
    std::vector<std::pair<Base::Instant, std::function<void()>>> scheduled_; ///< Ends of faults.
    std::map<std::string, int> refusedOnce_; ///< Ids of at-most-once requests that were refused as not run.
    std::map<std::string, Request> requests_;
    std::uint64_t nextVersion_ = 1;
    std::uint64_t nextRequest_ = 1;
    std::uint64_t finalVersion_ = 0;
    int served_ = 0;
    int refused_ = 0;
    int failed_ = 0;
    int faults_ = 0;
};

} // namespace Soak
