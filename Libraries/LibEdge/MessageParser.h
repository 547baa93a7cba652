#pragma once

#include "LibEdge/RequestMessage.h"

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Edge {

/// Each field costs its container as well, so that short ones hold many times their bytes.
constexpr std::size_t MaxHeaderFields = 256;

/// What delimits a response besides its own headers.
struct ReplyFraming
{
    bool headRequest = false; ///< The response has no body whatever its headers say.
    std::uint64_t maxBodyBytes = std::uint64_t {8} * 1024 * 1024;
};

/// Tells from the head of a request whether its body will be used; asked when the body begins.
using BodyFilter = std::function<bool(const RequestMessage &)>;

/// What one request may hold.
struct RequestLimits
{
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = std::uint64_t {256} * 1024;
    std::size_t maxHeaderFields = MaxHeaderFields;
    const BodyFilter *usesBody = nullptr; ///< A body that it does not want is dropped as it arrives.
};

/// Unparsed bytes that a parser may leave over before they count as a line or trailer without end. Headers
/// have limits of their own; chunk extensions and trailers do not.
constexpr std::size_t MaxUnparsedBytes = std::size_t {80} * 1024;

/// Result of feeding bytes to a parser.
struct Parsed
{
    std::size_t consumed = 0;
    boost::beast::error_code error; ///< Set when the bytes are no message of the protocol.
    bool done = false;
};

/// Parses one request. The grammar and the framing rules are Boost.Beast's: conflicting lengths, and a length
/// beside chunks, are errors. Trailers are dropped.
class RequestParser final : private boost::beast::http::basic_parser<true>
{
public:
    explicit RequestParser(const RequestLimits &limits);

    /// Consumes bytes of at most one request; what is left belongs to the next one.
    Parsed feed(std::string_view input);

    bool hasHeader() const { return is_header_done(); }
    /// Memory of what has been parsed.
    std::size_t heldBytes() const { return headBytes_ + message_.body.capacity(); }
    /// The most that it may be after `more` further bytes.
    std::size_t heldBytesAfter(std::size_t more) const;
    bool hasTooManyFields() const { return message_.headers.size() >= limits_.maxHeaderFields; }
    bool expectsContinue() const { return expectsContinue_; }
    /// Valid after feed() reported `done`.
    RequestMessage take();

private:
    using Base = boost::beast::http::basic_parser<true>;
    using Text = boost::beast::string_view;
    using Error = boost::beast::error_code;

    void on_request_impl(boost::beast::http::verb, Text method, Text target, int version, Error &) override;
    void on_response_impl(int, Text, int, Error &) override { }
    void on_field_impl(boost::beast::http::field, Text name, Text value, Error &) override;
    void on_header_impl(Error &) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &) override;
    std::size_t on_body_impl(Text body, Error &) override;
    void on_chunk_header_impl(std::uint64_t, Text, Error &) override { message_.hasBody = true; }
    std::size_t on_chunk_body_impl(std::uint64_t, Text body, Error &) override;
    void on_finish_impl(Error &) override { }

    std::size_t appendBody(Text body);

    RequestLimits limits_;
    RequestMessage message_;
    std::size_t headBytes_ = 0; ///< Memory of the head.
    std::size_t bodyLength_ = 0; ///< As announced; 0 if it is not known.
    bool expectsContinue_ = false;
};

/// Parses one response; informational responses before it are skipped. Trailers are dropped.
class ResponseParser final : private boost::beast::http::basic_parser<false>
{
public:
    explicit ResponseParser(const ReplyFraming &framing);

    Parsed feed(std::string_view input);
    /// The sender closed its side in an orderly way. Returns true when that completes the response.
    bool finishAtEnd();

    bool hasStarted() const { return got_some(); }
    /// Memory of what has been parsed.
    std::size_t heldBytes() const;
    /// What has been parsed; whole after feed() reported `done` or finishAtEnd() returned true.
    const ResponseMessage &message() const { return message_; }
    bool isInformational() const { return message_.status < 200; }
    /// Valid after feed() reported `done` or finishAtEnd() returned true.
    ResponseMessage take();

private:
    using Base = boost::beast::http::basic_parser<false>;
    using Text = boost::beast::string_view;
    using Error = boost::beast::error_code;

    void on_request_impl(boost::beast::http::verb, Text, Text, int, Error &) override { }
    void on_response_impl(int code, Text reason, int version, Error &) override;
    void on_field_impl(boost::beast::http::field, Text name, Text value, Error &) override;
    void on_header_impl(Error &) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &) override;
    std::size_t on_body_impl(Text body, Error &) override;
    void on_chunk_header_impl(std::uint64_t, Text, Error &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, Text body, Error &) override;
    void on_finish_impl(Error &) override { }

    ResponseMessage message_;
    std::size_t fieldTextBytes_ = 0; ///< Memory of the texts of all fields.
    std::size_t bodyLength_ = 0; ///< As announced; 0 if it is not known.
};

} // namespace Edge
