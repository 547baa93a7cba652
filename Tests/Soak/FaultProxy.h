#pragma once

#include "LibBase/Clock.h"
#include "LibEdge/Loop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace Soak {

/// Network faults of one address. They hold for the connections of the moment and for new ones.
struct LinkFaults
{
    Base::Duration delay {}; ///< Added to the bytes of both directions.
    bool cutToTarget = false; ///< Bytes towards the target are held until the cut heals.
    bool cutFromTarget = false;
};

/// Passes TCP connections on to a target and does to them what networks do.
class FaultProxy
{
public:
    /// Throws std::runtime_error when it cannot listen.
    FaultProxy(Edge::Loop &loop, const std::string &listenAddress, const std::string &targetAddress);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    void setFaults(const LinkFaults &faults) { faults_ = faults; }
    /// Ends all connections of the moment with a reset.
    void resetConnections();
    /// The connections of the moment carry nothing any more and never end by themselves.
    void silenceConnections();

private:
    class Link;

    void accept();
    void pump();

    Edge::Loop &loop_;
    Base::SystemClock clock_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    LinkFaults faults_;
    std::vector<boost::intrusive_ptr<Link>> links_;
};

} // namespace Soak
