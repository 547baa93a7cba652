#include "BackendStandIn/Connection.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace StandIn {

namespace {

constexpr std::size_t ReadSize = 16'384;

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

Connection::Connection(EventLoop &loop, int socket, RequestHandler onRequest, CloseHandler onClose)
    : loop_(loop)
    , socket_(socket)
    , onRequest_(std::move(onRequest))
    , onClose_(std::move(onClose))
{
}

Connection::~Connection()
{
    if (socket_ >= 0) {
        loop_.unwatch(socket_);
        ::close(socket_);
    }
}

void Connection::start(Base::Duration delay)
{
    const std::weak_ptr<Connection> weak = weak_from_this();
    loop_.after(delay, [weak] {
        const auto self = weak.lock();
        if (!self || !self->isOpen())
            return;
        self->loop_.watch(self->socket_, EPOLLIN, [weak] {
            if (const auto alive = weak.lock())
                alive->readReady();
        });
    });
}

void Connection::readReady()
{
    std::array<char, ReadSize> buffer {};
    const auto count = recv(socket_, buffer.data(), buffer.size(), 0);
    if (count < 0 && wouldBlock())
        return;
    if (count <= 0) {
        close();
        return;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(count));
    parseBuffered();
}

void Connection::parseBuffered()
{
    if (answering_ || !isOpen())
        return;
    auto parse = parseRequest(input_);
    if (parse.malformed) {
        respond({400, {}, {}});
        close();
        return;
    }
    if (parse.consumed == 0)
        return;
    input_.erase(0, parse.consumed);
    answering_ = true;
    onRequest_(shared_from_this(), std::move(parse.request));
}

void Connection::respond(const HttpResponse &response)
{
    if (!isOpen())
        return;
    answering_ = false;
    output_ += formatResponse(response);
    writeBuffered();
    parseBuffered();
}

void Connection::writeBuffered()
{
    while (!output_.empty()) {
        const auto count = send(socket_, output_.data(), output_.size(), MSG_NOSIGNAL);
        if (count < 0 && !wouldBlock()) {
            close();
            return;
        }
        if (count < 0) {
            const std::weak_ptr<Connection> weak = weak_from_this();
            loop_.after(Base::milliseconds(1), [weak] {
                const auto self = weak.lock();
                if (self && self->isOpen())
                    self->writeBuffered();
            });
            return;
        }
        output_.erase(0, static_cast<std::size_t>(count));
    }
}

void Connection::close()
{
    if (!isOpen())
        return;
    loop_.unwatch(socket_);
    ::close(socket_);
    socket_ = -1;
    onClose_(*this);
}

} // namespace StandIn
