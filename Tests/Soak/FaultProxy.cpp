#include "Soak/FaultProxy.h"

#include "LibEdge/SocketAddress.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <deque>
#include <fmt/format.h>
#include <stdexcept>

namespace Soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Interval at which held bytes are looked at; delays are exact to this.
constexpr Base::Duration PumpInterval = Base::milliseconds(2);
/// A stream that holds more than this is not read further, as with a full socket buffer.
constexpr std::size_t MaxHeldBytes = std::size_t {256} * 1024;

} // namespace

/// One connection from a caller with the one to the target.
class FaultProxy::Link : public boost::intrusive_ref_counter<FaultProxy::Link, boost::thread_unsafe_counter>
{
public:
    using Pointer = boost::intrusive_ptr<Link>;

    Link(FaultProxy &proxy, tcp::socket caller)
        : proxy_(proxy)
        , caller_(std::move(caller))
        , target_(proxy.loop_.context())
        , toTarget_ {caller_, target_, {}, {}}
        , fromTarget_ {target_, caller_, {}, {}}
    {
    }

    void start()
    {
        target_.async_connect(proxy_.target_, [self = Pointer(this)](const error_code &error) {
            if (error)
                return self->close();
            self->connected_ = true;
            self->read(self->toTarget_);
            self->read(self->fromTarget_);
        });
    }

    bool isClosed() const { return closed_; }

    void silence() { silent_ = true; }

    /// Ends both sides; unsent bytes are lost with a reset.
    void close()
    {
        if (std::exchange(closed_, true))
            return;
        error_code ignored; // The descriptors are released whatever these report.
        for (auto *socket : {&caller_, &target_}) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    void pump()
    {
        if (closed_ || silent_ || !connected_)
            return;
        pump(toTarget_, proxy_.faults_.cutToTarget);
        pump(fromTarget_, proxy_.faults_.cutFromTarget);
        if (toTarget_.ended && fromTarget_.ended)
            close();
    }

private:
    struct Piece
    {
        Base::Instant due;
        std::string bytes;
    };
    struct Stream
    {
        tcp::socket &from;
        tcp::socket &to;
        std::array<char, 16384> buffer;
        std::deque<Piece> held;
        std::size_t heldBytes = 0;
        bool reading = false;
        bool writing = false;
        bool atEnd = false; ///< The sender has closed its side.
        bool ended = false; ///< And the receiver was told.
    };

    void read(Stream &stream)
    {
        stream.reading = true;
        stream.from.async_read_some(
            asio::buffer(stream.buffer),
            [self = Pointer(this), &stream](const error_code &error, std::size_t size) {
                stream.reading = false;
                if (self->closed_)
                    return;
                if (error == asio::error::eof)
                    stream.atEnd = true;
                else if (error)
                    return self->close();
                stream.held.push_back({self->proxy_.clock_.now() + self->proxy_.faults_.delay,
                                       std::string(stream.buffer.data(), size)});
                stream.heldBytes += size;
                if (!stream.atEnd && stream.heldBytes < MaxHeldBytes)
                    self->read(stream);
                self->pump();
            });
    }

    void pump(Stream &stream, bool cut)
    {
        if (cut || stream.writing || stream.ended)
            return;
        if (stream.held.empty() || stream.held.front().due > proxy_.clock_.now()) {
            if (stream.held.empty() && !stream.atEnd && !stream.reading)
                read(stream);
            return;
        }
        if (stream.held.front().bytes.empty()) { // The end of the stream.
            stream.ended = true;
            error_code ignored; // A receiver that is gone needs no end.
            stream.to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        stream.writing = true;
        asio::async_write(stream.to, asio::buffer(stream.held.front().bytes),
                          [self = Pointer(this), &stream](const error_code &error, std::size_t size) {
                              stream.writing = false;
                              if (error)
                                  return self->close();
                              stream.heldBytes -= size;
                              stream.held.pop_front();
                              self->pump();
                          });
    }

    FaultProxy &proxy_;
    tcp::socket caller_;
    tcp::socket target_;
    Stream toTarget_;
    Stream fromTarget_;
    bool connected_ = false;
    bool silent_ = false;
    bool closed_ = false;
};

FaultProxy::FaultProxy(Edge::Loop &loop, const std::string &listenAddress, const std::string &targetAddress)
    : loop_(loop)
    , acceptor_(loop.context())
    , timer_(loop.context())
{
    const auto listen = Edge::parseEndpoint(listenAddress);
    const auto target = Edge::parseEndpoint(targetAddress);
    if (!listen || !target)
        throw std::runtime_error(fmt::format("no address: {} or {}", listenAddress, targetAddress));
    target_ = *target;
    acceptor_.open(listen->protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(*listen);
    acceptor_.listen();
    accept();
    pump();
}

FaultProxy::~FaultProxy()
{
    for (const auto &link : links_)
        link->close();
}

void FaultProxy::accept()
{
    acceptor_.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            links_.emplace_back(new Link(*this, std::move(socket)));
            links_.back()->start();
        }
        accept();
    });
}

void FaultProxy::pump()
{
    for (const auto &link : links_)
        link->pump();
    std::erase_if(links_, [](const auto &link) { return link->isClosed(); });
    timer_.expires_after(PumpInterval);
    timer_.async_wait([this](const error_code &error) {
        if (!error)
            pump();
    });
}

void FaultProxy::resetConnections()
{
    for (const auto &link : links_)
        link->close();
}

void FaultProxy::silenceConnections()
{
    for (const auto &link : links_)
        link->silence();
}

} // namespace Soak
