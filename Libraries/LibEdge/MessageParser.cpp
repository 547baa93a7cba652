#include "LibEdge/MessageParser.h"

#include <boost/asio/buffer.hpp>

namespace Edge {

namespace {

/// Largest header of a backend server's response that is kept in memory.
constexpr std::uint32_t MaxResponseHeaderBytes = 64 * 1024;

/// Statuses that are any (RFC 9110, section 15).
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

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

std::string toText(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

RequestParser::RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
{
    eager(true);
    header_limit(maxHeaderBytes);
    body_limit(maxBodyBytes);
}

Parsed RequestParser::feed(std::string_view input)
{
    return feedParser<Base>(*this, input);
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
    if (field == boost::beast::http::field::expect && boost::beast::iequals(value, "100-continue"))
        expectsContinue_ = true;
    message_.headers.emplace_back(toText(name), toText(value));
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &)
{
    if (length)
        message_.hasBody = true;
}

std::size_t RequestParser::on_body_impl(Text body, Error &)
{
    message_.body.append(body.data(), body.size());
    return body.size();
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, Text body, Error &)
{
    message_.body.append(body.data(), body.size());
    return body.size();
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

void ResponseParser::on_field_impl(boost::beast::http::field, Text name, Text value, Error &)
{
    message_.headers.emplace_back(toText(name), toText(value));
}

std::size_t ResponseParser::on_body_impl(Text body, Error &)
{
    message_.body.append(body.data(), body.size());
    return body.size();
}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t, Text body, Error &)
{
    message_.body.append(body.data(), body.size());
    return body.size();
}

} // namespace Edge
