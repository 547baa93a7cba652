#pragma once

#include "LibEdge/CallerServer.h"
#include "LibEdge/MessageParser.h"
#include "LibEdge/TransferProgress.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <optional>
#include <tuple>

namespace Edge {

/// State that all connections of one server share. Owned by the server; it outlives its connections' use of
/// it, because the server detaches them before it goes.
struct CallerServerContext
{
    CallerHandler handler;
    CallerServerOptions options;
    EdgeLimits limits;
    Base::SystemClock clock;
    bool draining = false;

    void note(RefusalCause cause) const
    {
        if (options.refused)
            options.refused(cause);
    }
};

/// Order in which connections give way to new ones: closing, idle, stopped in an answer, stopped in a
/// request, slow; within each the one without progress for longest first, and of the slow ones the oldest
/// transfer.
struct Usefulness
{
    int kind = 0;
    Base::Instant since;

    bool operator<(const Usefulness &other) const
    {
        return std::tie(kind, since) < std::tie(other.kind, other.since);
    }
};

/// One connection of a caller. Reading goes on while a request is being handled, so that the caller's leaving
/// is noticed at once.
///
/// Whatever is held for the caller is charged to the memory account of the process before it grows. A request
/// that a handler has is not ended for its memory; one that is still arriving, and an answer that is not
/// taken, are.
class CallerConnection final
    : public boost::intrusive_ref_counter<CallerConnection, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
      private MemoryHolder
{
public:
    CallerConnection(boost::asio::ip::tcp::socket socket, CallerServerContext &context);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void start();
    void respond(std::uint64_t sequence, ResponseMessage response);
    void onCallerLeft(std::uint64_t sequence, std::function<void()> left);
    std::optional<Base::Duration> roundTripTime();

    /// Closes the connection when the caller is too slow or idle for too long.
    void checkTimeouts(Base::Instant now);
    /// How useful the connection is; nothing if it must not be closed for another one now.
    std::optional<Usefulness> usefulness(Base::Instant now) const;
    /// Ends the connection, with an answer if a request is arriving that has shown its head.
    void giveWay(RefusalCause cause);
    /// Handles what has arrived, then closes the connection if no request is under way.
    void closeIfIdle();
    /// Cuts the connection off; the context is not used any more.
    void detach();

private:
    enum class State : std::uint8_t { Reading, Handling, Lingering, Closed };

    void waitReadable();
    void readAvailable();
    void takeInput(std::string_view input);
    void startParser();
    void readOn();
    void parseInput();
    void handleRequest();
    void refuse(int status);
    bool reserve(std::size_t bytes);
    void settle();
    std::size_t heldBytes() const;
    bool hasOutput() const { return !output_.empty() || !outputBody_.empty(); }
    bool mayRead() const;
    std::size_t releasableBytes() const override;
    Base::Instant lastProgress() const override { return progress_.lastMoved(); }
    void giveWay() override { giveWay(RefusalCause::NoMemory); }
    void write(std::string text, std::string body = {});
    void continueWrite();
    void finishWrite();
    void noteCallerGone();
    void linger();
    void close();

    boost::asio::ip::tcp::socket socket_;
    CallerServerContext *context_;
    std::optional<RequestParser> parser_;
    std::string input_; ///< Bytes received and not parsed yet.
    std::string output_;
    std::string outputBody_; ///< Follows `output_`.
    std::size_t outputSent_ = 0; ///< Of `output_`, or of `outputBody_` once that is empty.
    std::size_t chargedBytes_ = 0; ///< To the account of the process.
    std::size_t requestBytes_ = 0; ///< Of the request that a handler has.
    TransferProgress progress_; ///< Of the request that arrives, or of the answer that is taken.
    std::function<void()> callerLeft_;
    State state_ = State::Reading;
    bool reading_ = false;
    bool writing_ = false;
    bool closesAfterWrite_ = false;
    bool keepAlive_ = true;
    bool headRequest_ = false;
    std::uint64_t sequence_ = 0; ///< Requests received on this connection.
    Base::Instant since_; ///< Start of the present state, or of the present request's bytes.
    bool requestStarted_ = false;
};

} // namespace Edge
