#pragma once

#include "LibBase/Clock.h"
#include "LibBase/RandomSource.h"
#include "LibEdge/CallerServer.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Soak {

/// What the backend servers saw of one request id.
struct RequestSeen
{
    std::map<std::string, std::set<std::string>> ranOn; ///< Ids of servers that ran it, by service.
    std::string target; ///< Path as the first server saw it.
    Base::Instant firstRanAt;
    std::set<std::string> tenants; ///< As the servers were told.
    bool cameWithKey = false; ///< A server got the caller's key.
};

/// Faults that a stand-in server shows while they are set.
struct ServerFaults
{
    bool paused = false; ///< Answers nothing until it is unset.
    bool sheds = false; ///< Rejects as not executed.
    bool fails = false; ///< Runs and answers 500.
    bool loses = false; ///< Runs and never answers.
    bool foreign = false; ///< Answers with the id of another request.
};

/// The platform's list of servers and the servers themselves, on the test's own loop. All speak the
/// platform's protocol as its pages publish it.
class StandInPlatform
{
public:
    StandInPlatform(Edge::Loop &loop, std::string network, std::uint64_t seed);
    ~StandInPlatform();

    /// Starts a server of `service` at the next address.
    void addServer(const std::string &service);
    void removeServer(std::size_t index);
    std::size_t serverCount() const { return servers_.size(); }
    void setFaults(std::size_t index, const ServerFaults &faults);
    void clearFaults();

    std::string listAddress() const { return network_ + "250:19002"; }
    /// Addresses that the list names, which a proxy listens on, with those of the servers.
    std::vector<std::pair<std::string, std::string>> proxiedAddresses() const;
    const std::map<std::string, RequestSeen> &seen() const { return seen_; }

    /// Body that the server returns for a request id, so that a caller can check it.
    static std::string bodyOf(const std::string &service, const std::string &requestId);
    static std::string proofOf(const std::string &service, const std::string &requestId);

private:
    struct Server
    {
        std::string id;
        std::string service;
        std::string listedAddress; ///< Of a proxy.
        std::string address;
        ServerFaults faults;
        std::unique_ptr<Edge::CallerServer> listener;
    };
    struct Delayed
    {
        Base::Instant due;
        Edge::CallerExchange exchange;
        Edge::ResponseMessage response;
        std::string serverId;
    };

    void serve(Server &server, const Edge::RequestMessage &request, const Edge::CallerExchange &exchange);
    void sendDue();
    std::string list() const;

    Edge::Loop &loop_;
    std::string network_;
    Base::SystemClock clock_;
    Base::RandomSource random_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::unique_ptr<Edge::CallerServer> listServer_;
    std::deque<Delayed> delayed_;
    std::map<std::string, RequestSeen> seen_;
    int nextServer_ = 100;
};

} // namespace Soak
