#include "LibEdge/MessageParser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>

namespace Edge {

namespace {

/// Largest header of a backend server's response that is kept in memory.
constexpr std::uint32_t MaxResponseHeaderBytes = 64 * 1024;

/// Statuses that are any (RFC 9110, section 15).
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

/// A name of one letter, a colon and the end of the line.
constexpr std::size_t ShortestField = 4;

/// Feeds a parser until the message is complete or more input is needed.
template<typename Parser>
Parsed feedParser(Parser &parser, std::string_view input)
{
    Parsed result;
    while (!parser.is_done() && result.consumed < input.size()) {
        const auto rest = input.substr(result.consumed);
        const auto used = parser.put(boost::asio::buffer(rest.data(), rest.size()), result.error);
        result.consumed += used;
        if (result.error == boost::beast::http::error::need_more) {
            result.error = {};
            break;
        }
        if (result.error || used == 0)
            break;
    }
    result.done = !result.error && parser.is_done();
    return result;
}

/// Memory of a text besides its object; short ones need none.
std::size_t textBytes(const std::string &text)
{
    static const std::size_t Inside = std::string().capacity();
    return text.capacity() > Inside ? text.capacity() + 1 : 0;
}

std::string toText(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Grows by halves up to the announced length, so that little is held that no byte has arrived for.
std::size_t bodyCapacityFor(const std::string &body, std::size_t size, std::size_t announcedLength)
{
    const auto capacity = body.capacity();
    if (size <= capacity)
        return capacity;
    const auto grown = std::max(size, capacity + capacity / 2);
    return announcedLength >= size ? std::min(grown, announcedLength) : grown;
}

std::size_t appendTo(std::string &body, boost::beast::string_view part, std::size_t announcedLength)
{
    const auto capacity = bodyCapacityFor(body, body.size() + part.size(), announcedLength);
    if (capacity > body.capacity()) {
        // A text that reserves more for itself doubles.
        std::string larger;
        larger.reserve(capacity);
        larger.append(body);
        body = std::move(larger);
    }
    body.append(part.data(), part.size());
    return part.size();
}

} // namespace

RequestParser::RequestParser(const RequestLimits &limits)
    : limits_(limits)
{
    eager(true);
    header_limit(limits.maxHeaderBytes);
    body_limit(limits.maxBodyBytes);
}

Parsed RequestParser::feed(std::string_view input)
{
    return feedParser<Base>(*this, input);
}

std::size_t RequestParser::heldBytesAfter(std::size_t more) const
{
    if (!is_header_done()) {
        // Their container may hold twice as many fields as it has.
        const auto fields = std::min(limits_.maxHeaderFields, more / ShortestField);
        return heldBytes() + 2 * more + 2 * fields * sizeof(Http::Header);
    }
    if (message_.bodyDropped)
        return heldBytes();
    return headBytes_ + bodyCapacityFor(message_.body, message_.body.size() + more, bodyLength_);
}

std::size_t RequestParser::appendBody(Text body)
{
    return message_.bodyDropped ? body.size() : appendTo(message_.body, body, bodyLength_);
}

RequestMessage RequestParser::take()
{
    message_.keepAlive = keep_alive();
    return std::move(message_);
}

void RequestParser::on_request_impl(boost::beast::http::verb, Text method, Text target, int, Error &)
{
    message_.method = toText(method);
    message_.target = toText(target);
}

// The end of a body in an encoding that is not understood is unknown, so what follows could be taken for a
// request.
void RequestParser::on_field_impl(boost::beast::http::field field, Text name, Text value, Error &error)
{
    if (field == boost::beast::http::field::transfer_encoding && !boost::beast::iequals(value, "chunked"))
        error = boost::beast::http::error::bad_transfer_encoding;
    // A trailer must not be taken for a header (RFC 9110, section 6.5.1).
    if (is_header_done())
        return;
    if (field == boost::beast::http::field::expect && boost::beast::iequals(value, "100-continue"))
        expectsContinue_ = true;
    if (message_.headers.size() >= limits_.maxHeaderFields) {
        error = boost::beast::http::error::header_limit;
        return;
    }
    message_.headers.emplace_back(toText(name), toText(value));
}

void RequestParser::on_header_impl(Error &)
{
    headBytes_ = textBytes(message_.target) + message_.headers.capacity() * sizeof(Http::Header);
    for (const auto &[name, value] : message_.headers)
        headBytes_ += textBytes(name) + textBytes(value);
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &)
{
    message_.bodyDropped = limits_.usesBody != nullptr && *limits_.usesBody && !(*limits_.usesBody)(message_);
    if (!length)
        return;
    message_.hasBody = true;
    bodyLength_ = *length;
}

std::size_t RequestParser::on_body_impl(Text body, Error &)
{
    return appendBody(body);
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, Text body, Error &)
{
    return appendBody(body);
}

ResponseParser::ResponseParser(const ReplyFraming &framing)
{
    eager(true);
    header_limit(MaxResponseHeaderBytes);
    body_limit(framing.maxBodyBytes);
    if (framing.headRequest)
        skip(true);
}

Parsed ResponseParser::feed(std::string_view input)
{
    return feedParser<Base>(*this, input);
}

bool ResponseParser::finishAtEnd()
{
    if (!got_some() || !is_header_done())
        return false;
    Error error;
    put_eof(error);
    return !error && is_done();
}

std::size_t ResponseParser::heldBytes() const
{
    return message_.headers.capacity() * sizeof(Http::Header) + fieldTextBytes_ + message_.body.capacity();
}

ResponseMessage ResponseParser::take()
{
    message_.keepAlive = keep_alive();
    return std::move(message_);
}

void ResponseParser::on_response_impl(int code, Text reason, int, Error &error)
{
    if (code < MinStatus || code > MaxStatus)
        error = boost::beast::http::error::bad_status;
    message_.status = code;
    message_.reason = toText(reason);
}

void ResponseParser::on_field_impl(boost::beast::http::field, Text name, Text value, Error &error)
{
    // A trailer must not be taken for a header (RFC 9110, section 6.5.1).
    if (is_header_done())
        return;
    if (message_.headers.size() >= MaxHeaderFields) {
        error = boost::beast::http::error::header_limit;
        return;
    }
    const auto &field = message_.headers.emplace_back(toText(name), toText(value));
    fieldTextBytes_ += textBytes(field.first) + textBytes(field.second);
}

void ResponseParser::on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &)
{
    bodyLength_ = length.value_or(0);
}

std::size_t ResponseParser::on_body_impl(Text body, Error &)
{
    return appendTo(message_.body, body, bodyLength_);
}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t, Text body, Error &)
{
    return appendTo(message_.body, body, bodyLength_);
}

} // namespace Edge
