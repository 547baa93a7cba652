#include "Services/Registry/ServerListReader.h"

#include "LibRegistry/GatewayTable.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace Services {

namespace {

constexpr Base::Duration ConnectTimeout = Base::milliseconds(800);
/// Timeout for all pages; a later result would be older than the next read.
constexpr Base::Duration ReadTimeout = Base::milliseconds(2500);
/// Far more than a page with a few hundred servers.
constexpr std::size_t MaxPageBytes = std::size_t {8} * 1024 * 1024;
/// Exceeds any deployment; guards against endless pagination.
constexpr std::size_t MaxServers = 100'000;

} // namespace

ServerListReader::ServerListReader(Edge::Loop &loop, const Adapter::PlatformAdapter &adapter,
                                   std::string address)
    : loop_(loop)
    , adapter_(adapter)
    , address_(std::move(address))
    , memory_(MaxPageBytes)
{
}

void ServerListReader::read(Base::Instant now, ReadCallback callback)
{
    if (callback_)
        return;
    callback_ = std::move(callback);
    startedAt_ = now;
    page_.clear();
    pages_ = 0;
    servers_.clear();
    unreadable_ = {};
    requestPage();
}

void ServerListReader::requestPage()
{
    ++pages_;
    if (!connection_ || !connection_->isReusable(clock_.now()) || !connection_->isQuiet())
        connection_ =
            std::make_unique<Edge::BackendConnection>(loop_, address_, ConnectTimeout, memory_, *this);
    connection_->send(
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", adapter_.serverListTarget(page_), address_));
}

void ServerListReader::checkTimeout(Base::Instant now)
{
    if (callback_ && now - startedAt_ > ReadTimeout) {
        connection_.reset();
        fail(Base::ErrorKind::DeadlineExceeded, "server list was not read before the timeout");
    }
}

void ServerListReader::replyArrived(Edge::ResponseMessage response)
{
    if (!callback_)
        return;
    if (response.status != 200)
        return fail(Base::ErrorKind::BackendFailed,
                    fmt::format("server list request returned status {}", response.status));
    auto page = adapter_.decodeServerPage(response.body);
    if (!page)
        return fail(page.error().kind, page.error().detail);
    if (unreadable_.count == 0)
        unreadable_.sample = std::move(page->firstUnreadable);
    unreadable_.count += page->unreadable;
    servers_.insert(servers_.end(), std::make_move_iterator(page->servers.begin()),
                    std::make_move_iterator(page->servers.end()));
    const bool repeatsPage = !page->nextPage.empty() && page->nextPage == page_;
    if (repeatsPage || servers_.size() > MaxServers)
        return fail(Base::ErrorKind::MalformedMessage,
                    "server list repeats a page or exceeds the maximum number of servers");
    page_ = page->nextPage;
    if (page_.empty())
        finish();
    else
        requestPage();
}

void ServerListReader::exchangeFailed(Edge::ExchangeFailure failure, const std::string &detail)
{
    fail(Base::ErrorKind::BackendReplyLost,
         fmt::format("{}: {}", Edge::exchangeFailureName(failure), detail));
}

void ServerListReader::fail(Base::ErrorKind kind, const std::string &detail)
{
    if (auto callback = std::exchange(callback_, nullptr); callback)
        callback(Base::fail(kind, detail), unreadable_);
}

void ServerListReader::finish()
{
    Wire::ServerList list;
    list.servers = std::move(servers_);
    servers_ = {};
    std::sort(list.servers.begin(), list.servers.end(), [](const auto &left, const auto &right) {
        return std::tie(left.id, left.bornAt) < std::tie(right.id, right.bornAt);
    });
    // The remaining slow-start time differs at each read and must not change the digest.
    auto stable = list.servers;
    for (auto &server : stable)
        server.warmUpLeftMs = server.warmUpLeftMs > 0 ? 1 : 0;
    list.digest = Registry::digestOf(stable);
    list.ageMs = static_cast<std::uint32_t>((clock_.now() - startedAt_) / Base::milliseconds(1));
    if (auto callback = std::exchange(callback_, nullptr); callback)
        callback(std::move(list), unreadable_);
}

} // namespace Services
